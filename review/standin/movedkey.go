package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// storeLoad is how long a load from the weight store takes.
	storeLoad = 6 * time.Second
	// moveAfter is the time from the request to the change of the configuration.
	moveAfter = time.Second
	// keyConfigApply is the time within which a confirmed configuration is in force.
	keyConfigApply = 2 * time.Second
)

// movedKey checks rule UNASKED for the key of a tenant that is merged into another while a request with
// the key waits for a model.
func movedKey(d *deployment, trouble bool) ([]string, error) {
	var mu sync.Mutex
	var confirmed time.Time
	var breaches []string
	runs := 0
	holder := "hule930"
	s := &orderServer{record: d.record, store: d.store, id: "i-1", address: d.ip(30, 1) + ":8080", onDisk: []string{}, loadTime: storeLoad}
	s.onRun = func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		runs++
		tenant := r.Header.Get("X-Tenant")
		d.record.printf("server runs %s for model %s with X-Tenant %s; the tenant that holds the key is %s",
			r.Header.Get("X-Request-Id"), r.Header.Get("X-Model"), tenant, holder)
		since := time.Since(confirmed)
		if tenant != holder && since > keyConfigApply {
			breaches = append(breaches, fmt.Sprintf("UNASKED: a server runs %s with X-Tenant %s, %.1f s after the store has confirmed that %s holds its key",
				r.Header.Get("X-Request-Id"), tenant, since.Seconds(), holder))
		}
	}
	if err := s.start("m0"); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	d.closers = append(d.closers, func() { close(stop) })
	go s.beat(stop)
	configure := func(version int, tenants ...map[string]any) {
		d.store.put("config", "main", map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "r-1", "host": "ficu95.example", "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 20000,
				"targetLatencyMs": 3000, "priority": 1, "service": "huvo11a", "maxAttempts": 1, "public": false, "sticky": true,
				"resumable": false, "gapAimMs": 300,
			}},
			"services": []map[string]any{engineService("huvo11a", []string{"m0", "m1"})},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			"tenants":  tenants,
		})
	}
	tenant := func(name string, keys ...string) map[string]any {
		return map[string]any{"name": name, "apiKeys": keys, "priority": 1}
	}
	configure(7, tenant("hule930", "key-0", "key-1"), tenant("noye902", "key-2"))
	k, err := d.newKeeper(1, d.ip(30, 1), s.address)
	if err != nil {
		return nil, err
	}
	g, err := d.newGateway(1, "cuyo-a", d.storeAddress())
	if err != nil {
		return nil, err
	}
	if err := k.start(); err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	if err := g.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	answered := false
	send := func(id, model string) {
		status, err := ask(g.callers, id, model)
		mu.Lock()
		defer mu.Unlock()
		answered = answered || (status == http.StatusOK && err == nil)
		d.record.printf("client of %s (%s) gets status %d, error %v", id, model, status, err)
	}
	d.record.printf("client sends 9c41d07b00000001 with key-1 of tenant %s for model m1, which has to be loaded", holder)
	group.Go(func() { send("9c41d07b00000001", "m1") })
	time.Sleep(moveAfter)
	if trouble {
		configure(9, tenant("noye902", "key-2", "key-0", "key-1"))
		mu.Lock()
		confirmed, holder = time.Now(), "noye902"
		mu.Unlock()
		d.record.printf("the store confirms version 9, in which there is no tenant hule930 any more and %s holds its keys", holder)
	} else {
		configure(9, tenant("hule930", "key-0", "key-1"), tenant("noye902", "key-2"))
	}
	time.Sleep(keyConfigApply + 500*time.Millisecond)
	send("9c41d07b00000002", "m0")
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	if !answered || runs == 0 {
		return nil, fmt.Errorf("no request was answered")
	}
	return breaches, nil
}
