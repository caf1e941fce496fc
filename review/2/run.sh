#!/usr/bin/env bash
# Runs this case with the programs in target/ and the stand-ins of review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x "$root/review/.build/standin" ] || { echo "run review/build.sh first"; exit 2; }
exec "$root/review/.build/standin" moved-key "$root" "$PWD/record.txt"
