package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	addedPrefix  = "/nuvo118/"
	addedService = "zeta77c"
	// steadyTime is how long requests are counted, oddPause the time between two on each route.
	steadyTime = 20 * time.Second
	oddPause   = 100 * time.Millisecond
)

// odd adds a route to a service of its own. Another writer leaves an entry among the servers that lacks fields and has
// the address of that service's server. It checks that the added route is served as often as the first one.
func odd(s *site, trouble bool) {
	s.sides()
	s.store.put("config", "main", configuration(7))
	v := s.server(10, ledger, "")
	v.run = answer
	v.start("i-ledger")
	w := s.server(11, addedService, "")
	w.run = answer
	w.start("i-added")
	s.gateway(2, "cuyo-a").start()
	if !s.awaitReady(2, 10*time.Second) {
		check(fmt.Errorf("the gateway isn't ready"))
	}
	time.Sleep(contactTime)
	next := configuration(8)
	if routes, ok := next["routes"].([]fields); ok {
		next["routes"] = append(routes, fields{
			"name": "r-added", "host": host, "pathPrefix": addedPrefix, "kind": "safe", "timeoutMs": 800,
			"targetLatencyMs": 150, "priority": 2, "service": addedService, "maxAttempts": 2, "public": false,
		})
	}
	if services, ok := next["services"].([]fields); ok {
		next["services"] = append(services, fields{"name": addedService, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false})
	}
	s.store.put("config", "main", next)
	s.note("the operator adds a route to a service of its own with version 8")
	time.Sleep(applyTime)
	client := newClient(2, 3*time.Second)
	ask := func(path string) result {
		return send(client, s.callers(2), "GET", path, newID(), 1500*time.Millisecond, nil, map[string]string{"X-Token-Counts": "10,10"})
	}
	s.note("before: the added route gets status %d", ask(addedPrefix+"x").status)
	if trouble {
		entry := fields{"service": addedService, "address": w.address(), "zone": "cuyo-a", "state": "ready", "born": time.Now().UnixMilli()}
		s.note("another writer leaves an entry without version, slots, coldLeftMs and seq: %v", entry)
		go func() {
			for n := 0; ; n++ {
				// It writes about as often as servers do, so that the entry doesn't lapse.
				entry["note"] = n
				s.store.put("servers", "i-other-writer", entry)
				time.Sleep(1200 * time.Millisecond)
			}
		}()
	}
	time.Sleep(contactTime)
	var sent, first, added atomic.Int64
	for until := time.Now().Add(steadyTime); time.Now().Before(until); time.Sleep(oddPause) {
		sent.Add(1)
		if ask(safePrefix+"x").status == http.StatusOK {
			first.Add(1)
		}
		r := ask(addedPrefix + "x")
		if r.status == http.StatusOK {
			added.Add(1)
		}
		if sent.Load()%20 == 1 {
			s.note("request %d on the added route: status %d %s", sent.Load(), r.status, r.body)
		}
	}
	s.finish(sent.Load() >= 20 && 4*added.Load() < first.Load(), "of %d requests on each, %d were served on the first route and %d on the added one",
		sent.Load(), first.Load(), added.Load())
}
