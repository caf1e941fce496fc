#!/usr/bin/env bash
# Runs an old build beside a new one, and a new one on what an old one wrote.
#
#   faults/mixed.sh OLD NEW
#
# OLD and NEW are folders with the programs agent, demo, entry, gateway, keeper,
# knapweedpulley and standin of a build. Run it at the root of the repository.
# It needs curl and jq. It exits with 1 at the first check that fails.
set -euo pipefail
old=$(realpath "$1") new=$(realpath "$2")
work=$(mktemp -d)
started=()
stop() {
	for p in "${started[@]}"; do kill "$p" 2>/dev/null || true; done
	wait
	rm -rf "$work"
}
trap stop EXIT

# pick writes a program that runs the build $1 for settings files whose name ends
# in an odd number, and the build $2 for the others.
pick() {
	mkdir -p "$work/$3"
	cp "$new/standin" "$work/$3/"
	for program in entry agent gateway keeper; do
		printf '#!/bin/sh\nfor last; do :; done\ncase $last in *[13579].json) exec %s/%s "$@" ;; *) exec %s/%s "$@" ;; esac\n' \
			"$1" "$program" "$2" "$program" >"$work/$3/$program"
		chmod +x "$work/$3/$program"
	done
}

demo() {
	echo "== demo, $1"
	"$new/demo" run --bin "$work/$2" | tee "$work/demo" | tail -1
	grep -q ' 0 wrong$' "$work/demo"
}

# soak runs the regression seeds of the soak with the gateways and keepers of $2.
# The go in front of PATH hands out these programs when the soak builds its own.
soak() {
	echo "== soak, $1"
	mkdir -p "$work/path-$2"
	printf '#!/bin/sh\ncp %s/gateway %s/keeper "$3"\n' "$work/$2" "$work/$2" >"$work/path-$2/go"
	chmod +x "$work/path-$2/go"
	(cd faults/soak && PATH="$work/path-$2:$PATH" "$work/soak.test" -test.v -test.run TestSoak | grep -E 'seed |^(ok|PASS|FAIL|---)')
}

# upgrade restarts the entries and agents of a fleet as the new build, on the
# settings, templates, keys and claims that the old build wrote.
upgrade() {
	echo "== upgrade of a running fleet"
	rm -f .local/addresses.json
	"$old/demo" local --bin "$old" --keep "$work/fleet" >"$work/local" 2>&1 &
	local demo=$!
	started+=("$demo")
	for _ in $(seq 120); do [ -s .local/addresses.json ] && break; sleep 0.5; done
	local a=.local/addresses.json entry admin key model route
	entry=$(jq -r '.entries[0]' $a) admin=$(jq -r '.admin[0]' $a)
	key=$(jq -r '.customers[0].key' $a) model=$(jq -r '.customers[0].models[0]' $a) route=returns
	ask() {
		curl -sS --fail-with-body -m 30 -H "Authorization: Bearer $1" \
			-d "{\"model\":\"$2\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}" "http://$entry/v1/chat/completions"
	}
	once() {
		curl -sS --fail-with-body -m 30 -H "Authorization: Bearer $key" -H "Idempotency-Key: mixed-1" \
			-d '{"item":1}' "http://$entry/services/$route/mixed"
	}
	cat >"$work/workshop.json" <<-'JSON'
		{"customer": "workshop", "rate": "${rate}", "burst": 20000, "deadline": "20s",
		 "models": [{"id": "gas-mixes", "size": 1073741824, "replicas": 1, "coldStart": "4s"}]}
	JSON
	"$old/knapweedpulley" --settings $a apply "$work/workshop.json" --set rate=2000
	local secret
	secret=$("$old/knapweedpulley" --settings $a key issue workshop counter | grep -o 'kp[-_][A-Za-z0-9_-]*' | head -1)
	ask "$key" "$model" >/dev/null
	ask "$secret" gas-mixes >/dev/null
	once >"$work/answer-old"
	"$old/knapweedpulley" --settings $a history workshop >"$work/history-old"
	echo "old build: template, key, 2 completions, 1 claimed request"
	local p line
	for p in $(ps -o pid= --ppid "$demo"); do
		line=$(tr '\0' ' ' <"/proc/$p/cmdline")
		case $line in *"/entry "* | *"/agent "*) ;; *) continue ;; esac
		kill -TERM "$p"
		for _ in $(seq 100); do [ -d "/proc/$p" ] && ! grep -q '^State:.Z' "/proc/$p/status" 2>/dev/null && sleep 0.2 || break; done
		local settings=${line##*--settings } program=${line%% *}
		settings=${settings% }
		"$new/$(basename "$program")" --check --settings "$settings"
		"$new/$(basename "$program")" --settings "$settings" >>"$work/new.log" 2>&1 &
		started+=("$!")
		sleep 1
	done
	for _ in $(seq 120); do curl -sf -m 2 "http://$entry/ready" >/dev/null && break; sleep 0.5; done
	sleep 5
	ask "$key" "$model" >/dev/null
	ask "$secret" gas-mixes >/dev/null
	once >"$work/answer-new"
	diff "$work/answer-old" "$work/answer-new"
	"$new/knapweedpulley" --settings $a history workshop >"$work/history-new"
	cmp "$work/history-old" "$work/history-new"
	"$new/knapweedpulley" --settings $a status >/dev/null
	"$new/knapweedpulley" --settings $a apply "$work/workshop.json" --set rate=1000
	"$new/knapweedpulley" --settings $a key withdraw workshop counter
	echo "new build: same history, 2 completions, same answer to the claimed request, template applied, key withdrawn"
	kill "$demo"
}

go test -c -o "$work/soak.test" ./faults/soak
pick "$old" "$new" first
pick "$new" "$old" second
demo "odd numbers old, even ones new" first
demo "odd numbers new, even ones old" second
soak "odd numbers old, even ones new" first
soak "odd numbers new, even ones old" second
upgrade
echo "mixed: all checks passed"
