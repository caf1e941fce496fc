package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowd is the number of clients at each gateway. A head stays below maxHeaderBytes.
	crowd     = 40
	nameBytes = 12000
	// crowdTime is how long the crowd sends.
	crowdTime = 85 * time.Second
	// ordinaryClients is the number of clients of an unsafe route at each gateway, orderTime how long their
	// requests run.
	ordinaryClients = 6
	orderTime       = 100 * time.Millisecond
)

// memory lets clients ask for models that don't exist, and checks that no gateway exceeds the memory of its
// machine: the platform kills a process that does, and starts it again.
func memory(s *site, trouble bool) {
	s.store.put("config", "main", configuration(7))
	s.sides()
	v := s.server(10, ledger, "")
	var mu sync.Mutex
	ran := map[string]bool{}
	v.onRun = func(_ *server, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ran[r.Header.Get("X-Request-Id")] = true
	}
	v.run = func(v *server, c netConn, r *http.Request, body []byte) bool {
		time.Sleep(orderTime)
		return answer(v, c, r, body)
	}
	v.start("i-ledger")
	machines := []int{2, 3}
	var gateways []*process
	for _, n := range machines {
		g := s.gateway(n, "cuyo-a")
		g.start()
		gateways = append(gateways, g)
	}
	for _, n := range machines {
		if !s.awaitReady(n, 10*time.Second) {
			check(fmt.Errorf("the gateway of machine %d isn't ready", n))
		}
	}
	ends := make([]atomic.Int64, len(machines))
	var peak atomic.Int64
	done := make(chan struct{})
	var group sync.WaitGroup
	for i, g := range gateways {
		group.Go(func() { watchMemory(s, g, machines[i], &ends[i], &peak, done) })
	}
	var sent, answered, ordinary, lost atomic.Int64
	until := time.Now().Add(crowdTime)
	var clients sync.WaitGroup
	for _, n := range machines {
		for range crowd {
			clients.Go(func() { crowdClient(s.callers(n), trouble, until, &sent, &answered) })
		}
		for range ordinaryClients {
			clients.Go(func() {
				c := newClient(1, 3*time.Second)
				for ; time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
					id := newID()
					r := send(c, s.callers(n), "POST", unsafePrefix+"order", id, 1500*time.Millisecond, []byte("order"), nil)
					mu.Lock()
					passed := ran[id]
					mu.Unlock()
					ordinary.Add(1)
					if r.err != nil && passed {
						lost.Add(1)
						s.note("ordinary request %s ran and got no answer: %v", id, r.err)
					}
				}
			})
		}
	}
	clients.Wait()
	close(done)
	group.Wait()
	s.note("the crowd sent %d requests, %d were answered", sent.Load(), answered.Load())
	s.note("ordinary clients sent %d requests, %d of them ran and got no answer", ordinary.Load(), lost.Load())
	r := send(newClient(1, 3*time.Second), s.callers(2), "GET", safePrefix+"x", newID(), 1500*time.Millisecond, nil, nil)
	s.note("an ordinary request: status %d, error %v", r.status, r.err)
	total, often := int64(0), 0
	for i := range ends {
		total += ends[i].Load()
		if ends[i].Load() >= 3 {
			often++
		}
	}
	s.finish(often >= 2, "processes exceeded %d MB of memory %d times, three times or more on %d of %d front machines; "+
		"most seen: %d MB; %d ordinary requests ran and got no answer", memoryMB, total, often, len(machines), peak.Load()/1_000_000, lost.Load())
}

// watchMemory plays the platform: it kills a process that exceeds its memory, and starts it again.
func watchMemory(s *site, g *process, n int, ends, peak *atomic.Int64, done <-chan struct{}) {
	last := time.Time{}
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		size := g.resident()
		if time.Since(last) > 5*time.Second {
			last = time.Now()
			s.note("%s has %d MB resident", g.name, size/1_000_000)
		}
		for p := peak.Load(); size > p && !peak.CompareAndSwap(p, size); p = peak.Load() {
		}
		if size > memoryMB*1_000_000 {
			s.note("%s has %d MB resident, more than its machine's %d MB: the platform kills it", g.name, size/1_000_000, memoryMB)
			ends.Add(1)
			g.signal(syscall.SIGKILL)
			g.await(5 * time.Second)
			time.Sleep(300 * time.Millisecond)
			g.start()
			s.awaitReady(n, 10*time.Second)
		}
	}
}

// crowdClient sends requests over a kept channel. With trouble, each names another model.
func crowdClient(address string, trouble bool, until time.Time, sent, answered *atomic.Int64) {
	c := newClient(1, 3*time.Second)
	for time.Now().Before(until) {
		id := newID()
		name := strings.Repeat("x", nameBytes)
		if trouble {
			name = id + name
		}
		r := send(c, address, "POST", streamPrefix+"2f", id, 200*time.Millisecond, []byte("question"),
			map[string]string{"X-Model": name, "X-Token-Counts": "1,1"})
		sent.Add(1)
		if r.err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		answered.Add(1)
	}
}
