package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	withdrawnKey = "n2ctnfzs989anu6wsjnb"
	// copyAge is how old the copy is from which the store comes back, awayFor how long it is away before.
	copyAge = 4 * time.Second
	awayFor = time.Second
	// writtenAgain is when the operator has written again what the copy lacks, after the store's return.
	writtenAgain = 6 * time.Second
	// applyTime is the deployments' configApplyMs.
	applyTime = 2 * time.Second
)

// staleCopy withdraws a key, has the store come back from a copy that is older than that, and restarts one of two
// gateways. It checks that no request with the withdrawn key runs later than configApplyMs after the confirmation, at
// gateways in touch.
func staleCopy(s *site, trouble bool) {
	s.sides()
	before := configuration(7)
	withKeys(before, key, withdrawnKey)
	s.store.put("config", "main", before)
	v := s.server(10, ledger, "")
	var ran, counted atomic.Int64
	v.run = answer
	v.onRun = func(_ *server, _ *http.Request) { ran.Add(1) }
	v.start("i-ledger")
	gateways := map[int]*process{2: s.gateway(2, "cuyo-a"), 3: s.gateway(3, "cuyo-b")}
	started := map[int]time.Time{}
	for n, g := range gateways {
		g.start()
		started[n] = time.Now()
	}
	for n := range gateways {
		if !s.awaitReady(n, 10*time.Second) {
			check(fmt.Errorf("the gateway of machine %d isn't ready", n))
		}
	}
	time.Sleep(contactTime)
	copied := s.store.copy()
	time.Sleep(copyAge / 2)
	after := configuration(8)
	withKeys(after, key)
	s.store.put("config", "main", after)
	confirmed := time.Now()
	s.note("the operator withdraws a key with version 8; the store confirms it")
	time.Sleep(copyAge / 2)
	back := time.Now()
	if trouble {
		s.store.leave()
		s.note("the store is away")
		time.Sleep(awayFor)
		s.store.comeBack(copied)
		back = time.Now()
		s.note("the store is back from a copy, %s old when it left", copyAge)
	}
	g := gateways[3]
	g.signal(syscall.SIGKILL)
	g.await(2 * time.Second)
	time.Sleep(300 * time.Millisecond)
	g.start()
	started[3] = time.Now()
	if !s.awaitReady(3, 10*time.Second) {
		s.note("the gateway of machine 3 isn't ready")
	}
	again := false
	for time.Since(back) < writtenAgain+4*time.Second {
		if trouble && !again && time.Since(back) >= writtenAgain {
			again = true
			s.store.put("config", "main", after)
			s.note("the operator has written version 8 again")
		}
		for n := range gateways {
			inTouch := time.Since(started[n]) > contactTime && time.Since(back) > contactTime
			late := time.Since(confirmed) > applyTime
			runs := ran.Load()
			id := newID()
			r := send(newClient(1, 3*time.Second), s.callers(n), "POST", unsafePrefix+"order", id, 1500*time.Millisecond, []byte("order"),
				map[string]string{"Authorization": "Bearer " + withdrawnKey, "X-Token-Counts": "10,10"})
			if r.status == http.StatusOK && ran.Load() > runs && inTouch && late {
				counted.Add(1)
			}
			s.note("machine %d, in touch %v: a request with the withdrawn key gets status %d %v", n, inTouch, r.status, r.err)
		}
		time.Sleep(250 * time.Millisecond)
	}
	s.finish(counted.Load() > 0, "%d requests with the withdrawn key ran at machines in touch, later than %s after the confirmation",
		counted.Load(), applyTime)
}

// withKeys sets the keys of the configuration's tenant.
func withKeys(c fields, keys ...string) {
	if tenants, ok := c["tenants"].([]fields); ok {
		tenants[0]["apiKeys"] = keys
	}
}
