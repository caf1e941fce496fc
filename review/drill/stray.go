package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// strayFaulty of strayServers servers are faulty. strayEvery is how many of a faulty server's requests lie
	// between two that find additional bytes: the site file's largest dose of late extra answers is a share of 0.6
	// of the servers and 0.03 of the answers.
	strayServers = 5
	strayFaulty  = 3
	strayEvery   = 34
	strayClients = 16
	strayDelay   = 40 * time.Millisecond
	strayCalls   = 120
	strayPeriod  = 50 * time.Millisecond
)

// stray lets faulty servers send additional bytes after a complete response: they look like a refusal and name
// no request. It checks that no request of an unsafe route runs twice.
func stray(s *site, trouble bool) {
	s.sides()
	s.store.put("config", "main", configuration(7))
	var mu sync.Mutex
	runs, statuses := map[string][]string{}, map[string]int{}
	served := map[netConn]int{}
	for i := range strayServers {
		v := s.server(10+i, ledger, "")
		faulty, count := i < strayFaulty, 0
		v.onRun = func(v *server, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get("X-Request-Id")
			runs[id] = append(runs[id], v.id)
			s.note("server %s runs %s, run %d of it", v.id, id, len(runs[id]))
		}
		v.run = func(v *server, c netConn, r *http.Request, body []byte) bool {
			mu.Lock()
			served[c]++
			kept := served[c] > 1
			count++
			add := trouble && faulty && kept && count >= strayEvery
			if add {
				count = 0
			}
			mu.Unlock()
			if add {
				s.note("server %s: additional bytes after its last response on the channel on which %s has come", v.id, r.Header.Get("X-Request-Id"))
				fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			}
			time.Sleep(strayDelay)
			return answer(v, c, r, body)
		}
		v.start(fmt.Sprintf("i-ledger-%d", v.machine))
	}
	s.gateway(2, "cuyo-a").start()
	if !s.awaitReady(2, 10*time.Second) {
		check(fmt.Errorf("the gateway isn't ready"))
	}
	time.Sleep(contactTime)
	var group sync.WaitGroup
	for range strayClients {
		group.Go(func() {
			c := newClient(1, 3*time.Second)
			for range strayCalls {
				id := newID()
				r := send(c, s.callers(2), "POST", unsafePrefix+"order", id, 1500*time.Millisecond, []byte("order"),
					map[string]string{"X-Token-Counts": "10,10"})
				s.note("the client of %s got status %d %v", id, r.status, r.err)
				mu.Lock()
				statuses[id] = r.status
				mu.Unlock()
				time.Sleep(strayPeriod)
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice, refused := 0, 0
	for id, list := range runs {
		if len(list) > 1 {
			twice++
			s.note("%s ran at %v", id, list)
		}
		if statuses[id] == http.StatusServiceUnavailable || statuses[id] == http.StatusTooManyRequests {
			refused++
			s.note("%s ran at %v and was answered %d", id, list, statuses[id])
		}
	}
	s.finish(twice > 0, "of %d requests of the unsafe route %d ran more than once, and %d ran and were answered 429 or 503",
		len(statuses), twice, refused)
}
