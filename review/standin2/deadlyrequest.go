package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	deadlyBody = "deposit release that crashes its server"
	// contactTime is contactMs of the deployment.
	contactTime = 3 * time.Second
	// returnTime is the time after which the deadly request comes again.
	returnTime = 4 * time.Second
)

// arrival is an arrival of the deadly request at a server.
type arrival struct {
	at time.Time
	id string
}

// deadlyRequest lets all gateways be killed at the same moment once a request has crashed its third server. They start
// again.
func deadlyRequest(s *scene) error {
	return crashingRequest(s, func(f *smallFleet) error {
		s.record.printf("all gateways are killed")
		for _, g := range f.gateways {
			g.process.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for i := range f.gateways {
			if err := f.startGateway(i); err != nil {
				return err
			}
		}
		s.record.printf("all gateways start again")
		return nil
	})
}

// rotatedKey lets the operator take a key of the caller away once its request has crashed its third server. The caller
// goes on with its other key.
func rotatedKey(s *scene) error {
	return crashingRequest(s, func(f *smallFleet) error {
		s.store.put("config", "main", ledgerConfig(9, 1, otherKey))
		f.key = otherKey
		s.record.printf("the store has confirmed version 9: the caller's first key is gone; it goes on with its other one")
		return nil
	})
}

// crashingRequest sends a request again and again that crashes each server that begins to run it. The disruption comes
// once it has crashed the third server.
func crashingRequest(s *scene, disrupt func(*smallFleet) error) error {
	f, err := startFleet(s, 4, 3, ledgerConfig(7, 1, apiKey, otherKey))
	defer f.close()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var arrivals []arrival
	servers := make([]*plainServer, 0, 4)
	for i := range 4 {
		p := &plainServer{
			record: s.record, store: s.store, id: fmt.Sprintf("i-plain%d", i), service: "wuno96b", address: s.ip(50+i) + ":8080", zone: zoneOf(i),
			downTime: 2500 * time.Millisecond,
			crashes: func(r *http.Request) bool {
				return r.Header.Get("X-Model") == "" && r.ContentLength == int64(len(deadlyBody))
			},
		}
		p.onRun = func(r *http.Request, p *plainServer) {
			if !p.crashes(r) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, arrival{at: time.Now(), id: r.Header.Get("X-Request-Id")})
			s.record.printf("server %s: begins to run request %s and crashes, crash %d", p.id, r.Header.Get("X-Request-Id"), len(arrivals))
		}
		if err := p.start(); err != nil {
			return err
		}
		defer p.end()
		servers = append(servers, p)
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	s.record.printf("all gateways are ready")
	send := func(g *gatewayOf, id, body string) {
		s.record.printf("client: request %s at %s: status %d", id, g.name, f.post(g, id, body))
	}
	began := time.Now()
	disrupted := !s.trouble
	var third time.Time
	retries := make(map[string]bool)
	for n := 0; time.Since(began) < 94*time.Second && !s.record.isBroken(); n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * returnTime)))
		g := f.gateways[n%len(f.gateways)]
		sent, inTouch := time.Now(), time.Since(g.started) > contactTime
		id := fmt.Sprintf("%016x", 0x100+n)
		send(g, id, deadlyBody)
		// Other requests of the caller go on.
		send(f.gateways[(n+1)%len(f.gateways)], fmt.Sprintf("%016x", 0x1000+n), fmt.Sprintf("a sound deposit release, number %d", n))
		mu.Lock()
		count := len(arrivals)
		reached := count > 0 && arrivals[count-1].id == id
		if count >= 3 && third.IsZero() {
			third = arrivals[2].at
			s.record.printf("the request has crashed its third server")
		}
		mu.Unlock()
		if reached && !third.IsZero() && sent.Sub(third) > contactTime && inTouch {
			retries[id] = true
			s.record.printf("retry %d of the request that reaches a server later than contactMs after the third crash, from a machine in touch", len(retries))
			if len(retries) > 3 {
				s.record.breach("BUDGET: a request that crashes the servers that run it reaches servers in %d retries", len(retries))
			}
		}
		if !third.IsZero() && !disrupted {
			disrupted = true
			if err := disrupt(f); err != nil {
				return err
			}
		}
	}
	return nil
}
