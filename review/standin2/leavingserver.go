package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// drainTime is drainMs of the deployment.
const drainTime = 2 * time.Second

// silentChannels lets the open channels between the gateways and the platform's store go silent for good, while new
// ones work. A server leaves just after that.
func silentChannels(s *scene) error {
	s.proxied = true
	return leavingServer(s, contactTime+50*time.Millisecond, 2500*time.Millisecond, func(f *smallFleet) error {
		s.record.printf("%d open channels between the gateways and the store go silent", f.storeProxy.silence())
		return nil
	})
}

// cutSpan is how long the store cuts off watches. HTTP clients send a request again by themselves if a channel that they
// have used before closes.
const cutSpan = 300 * time.Millisecond

// cutWatches lets the platform's store cut off the watches of the servers that wait, for a moment. A server leaves just
// after that.
func cutWatches(s *scene) error {
	return leavingServer(s, 0, 700*time.Millisecond, func(f *smallFleet) error {
		if !await(20*time.Second, func() bool { return s.store.cutWatches("servers", len(f.gateways), 800*time.Millisecond) }) {
			return fmt.Errorf("the gateways don't wait for changes of the servers")
		}
		s.record.printf("the store cuts off the waiting watches of the servers, for %s", cutSpan)
		for end := time.Now().Add(cutSpan); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			s.store.cutWatches("servers", 1, 0)
		}
		return nil
	})
}

// leavingServer removes the entry of a server from the store after a disruption. The server never reports draining; it
// serves for its time and exits. Requests that reach it later than drainMs after that break the rule, unless their
// gateway is out of touch: for outOfTouch after the disruption. linger is how much longer than drainMs the server serves.
func leavingServer(s *scene, outOfTouch, linger time.Duration, disrupt func(*smallFleet) error) error {
	f, err := startFleet(s, 2, 3, ledgerConfig(7, 1, apiKey))
	defer f.close()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var disruptedAt, leftAt time.Time
	late, failed := 0, 0
	var servers []*plainServer
	for i := range 2 {
		p := &plainServer{
			record: s.record, store: s.store, id: fmt.Sprintf("i-plain%d", i), service: "wuno96b", address: s.ip(50+i) + ":8080", zone: zoneOf(i),
			crashes: func(*http.Request) bool { return false }, workTime: 100 * time.Millisecond,
		}
		p.onRun = func(r *http.Request, p *plainServer) {
			mu.Lock()
			defer mu.Unlock()
			if leftAt.IsZero() || p.id != "i-plain0" || time.Since(leftAt) <= drainTime {
				return
			}
			id, since := r.Header.Get("X-Request-Id"), time.Since(leftAt).Round(time.Millisecond)
			if s.trouble && time.Since(disruptedAt) <= outOfTouch {
				s.record.printf("server %s runs request %s %s after it left; its gateway is not in touch", p.id, id, since)
				return
			}
			late++
			s.record.breach("DRAIN: server %s runs request %s %s after the store has removed its entry", p.id, id, since)
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
	time.Sleep(8 * time.Second)
	s.record.printf("all gateways are ready")

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	statuses := make(map[int]int)
	for c := range 16 {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				time.Sleep(time.Duration(100+9*c) * time.Millisecond)
				id := fmt.Sprintf("%08x%08x", c+1, n)
				status := f.post(f.gateways[c%len(f.gateways)], id, "deposit release "+id)
				mu.Lock()
				statuses[status]++
				if status != http.StatusOK {
					failed++
					s.record.printf("client: request %s: status %d", id, status)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		if err := disrupt(f); err != nil {
			return err
		}
		mu.Lock()
		disruptedAt = time.Now()
		mu.Unlock()
	}
	time.Sleep(50 * time.Millisecond)
	servers[0].leave()
	mu.Lock()
	leftAt = time.Now()
	mu.Unlock()
	s.record.printf("the store has removed the entry of server %s, which leaves", servers[0].id)
	time.Sleep(drainTime + linger)
	s.record.printf("server %s exits", servers[0].id)
	servers[0].end()
	time.Sleep(3 * time.Second)
	stop()
	clients.Wait()
	s.record.printf("requests that ran too late at the leaving server: %d; requests that failed: %d; all answers by status: %v", late, failed, statuses)
	return nil
}

// ledgerConfig returns a configuration with a service without models, whose route is unsafe, and one with model servers.
func ledgerConfig(version, maxAttempts int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-2", "host": "ficu95.example", "pathPrefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 1500,
			"targetLatencyMs": 100, "priority": 2, "service": "wuno96b", "maxAttempts": maxAttempts, "public": false, "sticky": false,
			"resumable": false,
		}},
		"services": []map[string]any{
			{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
			{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 300, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 48, "kvCapacity": 117992, "weightsMb": 200000.0, "adapterSlots": 8, "loadsPerS": 4.5, "hostMb": 0, "diskMb": 1200000.0,
				"models": []modelSpec{{Name: "daka510000", WeightsMb: 65100, LoadTimeS: 6.2, AdapterMb: 12, WarmS: 1.2, DiskS: 1.6}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": keys, "ratePerS": 20000, "burst": 20000, "unit": "tokens", "plainTokens": 200}},
	}
}

// post sends an unsafe request over a new channel and returns the status of the answer, or zero.
func (f *smallFleet) post(g *gatewayOf, id, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+"/puxa403/2f", bytes.NewReader([]byte(body)))
	r.Host, r.Close = "ficu95.example", true
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "1500")
	r.Header.Set("Authorization", "Bearer "+f.key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		f.record.printf("client: request %s at %s: %v", id, g.name, err)
		return 0
	}
	defer answer.Body.Close()
	_, _ = io.ReadAll(answer.Body)
	return answer.StatusCode
}
