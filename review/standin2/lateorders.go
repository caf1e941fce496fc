package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// orderLateness is how late unanswered orders are carried out. The pages' largest is 12 s.
const orderLateness = 11800 * time.Millisecond

// lateOrders lets a model server leave the first orders to load two models unanswered, and then lets its machine lose
// power: the keeper and the server end, and start again a second later, the server under its id. Both orders are
// carried out by the new run.
func lateOrders(s *scene) error {
	storeAddress := s.ip(9) + ":8225"
	storeListener, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return err
	}
	defer storeListener.Close()
	go func() { _ = http.Serve(storeListener, s.store) }()

	models := []modelSpec{
		{Name: "small", WeightsMb: 42700, LoadTimeS: 6.0, AdapterMb: 66, WarmS: 0.89, DiskS: 1.2},
		{Name: "first", WeightsMb: 72700, LoadTimeS: 6.9, AdapterMb: 66, WarmS: 1.3, DiskS: 1.7},
		{Name: "second", WeightsMb: 72700, LoadTimeS: 6.9, AdapterMb: 66, WarmS: 1.3, DiskS: 1.7},
		{Name: "third", WeightsMb: 72700, LoadTimeS: 6.9, AdapterMb: 66, WarmS: 1.3, DiskS: 1.7},
	}
	specs, onDisk := make(map[string]modelSpec), make(map[string]bool)
	for _, m := range models {
		specs[m.Name], onDisk[m.Name] = m, true
	}
	s.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": "ficu95.example", "pathPrefix": "/lohu930/", "kind": "streaming", "timeoutMs": 30000,
			"targetLatencyMs": 4000, "priority": 1, "service": "huvo11a", "maxAttempts": 1, "public": false, "sticky": true,
			"resumable": false, "gapAimMs": 300,
		}},
		"services": []map[string]any{{
			"name": "huvo11a", "healthPath": "/healthz", "maxConns": 300, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 48, "kvCapacity": 117992, "weightsMb": 200000.0, "adapterSlots": 8, "loadsPerS": 4.5, "hostMb": 0,
				"diskMb": 1200000.0, "models": models,
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{"i9n73hh2b9wu3fexd9dn"}, "ratePerS": 0, "burst": 0, "unit": "tokens", "plainTokens": 200}},
	})

	unanswered := make(map[string]bool)
	var mu sync.Mutex
	e := &engine{
		record: s.record, store: s.store, id: "i-7f3a91c2", service: "huvo11a", address: s.ip(1) + ":8228", zone: "hu-central-a",
		memory: 200000, specs: specs, onDisk: onDisk,
		leaveUnanswered: func(o orderBody) (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			if !s.trouble || o.OpType != "load" || (o.Model != "first" && o.Model != "second") || unanswered[o.Model] {
				return 0, false
			}
			unanswered[o.Model] = true
			return orderLateness, true
		},
	}
	if err := e.start(); err != nil {
		return err
	}
	defer e.stop()

	startKeeper := func() (*process, error) {
		return startProcess(s.root, s.directory, "keeper", map[string]any{
			"id": "side-hu-central-a-1", "listen": s.ip(1) + ":7600", "engine": s.ip(1) + ":8228", "metrics": s.ip(1) + ":9464",
			"memoryMb": 216, "orderLateness": "13s", "logLevel": "info",
		}, "target/keeper")
	}
	keeper, err := startKeeper()
	if err != nil {
		return err
	}
	defer func() { keeper.kill() }()
	gateway, err := startProcess(s.root, s.directory, "gateway", map[string]any{
		"id": "front-hu-central-a-1", "zone": "hu-central-a", "callers": s.ip(2) + ":8221", "ready": s.ip(2) + ":8224",
		"links": s.ip(2) + ":7600", "metrics": s.ip(2) + ":9464", "keeperPort": 7600,
		"store": map[string]any{"address": storeAddress, "timeout": "700ms"}, "grace": "8s", "gateways": 50, "remoteLoads": 2,
		"memoryMb": 284, "logLevel": "info",
	}, "target/gateway", "--contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"--evacuation-ms=", "--repeat-slack=54", "--max-fds=4200")
	if err != nil {
		return err
	}
	defer gateway.kill()
	if !await(15*time.Second, func() bool { return ready(s.ip(2) + ":8224") }) {
		return fmt.Errorf("the gateway isn't ready")
	}
	// The server has been up for a while: the keeper keeps no room for orders of an earlier time any more.
	time.Sleep(14 * time.Second)
	s.record.printf("the gateway is ready, the server has been up for longer than any order takes")

	c := newClient(s.record, s.ip(2)+":8221", "ficu95.example", "i9n73hh2b9wu3fexd9dn")
	for i, model := range []string{"small", "first", "second"} {
		if _, complete := c.stream(fmt.Sprintf("%016x", i+1), "/lohu930/2f", model, 3, 30*time.Second); !complete {
			return fmt.Errorf("no answer with model %s before the disruption", model)
		}
	}
	if s.trouble {
		s.record.printf("the machine of server %s loses power: its keeper and the server end", e.id)
		e.stop()
		keeper.kill()
		time.Sleep(time.Second)
		if err := e.start(); err != nil {
			return err
		}
		if keeper, err = startKeeper(); err != nil {
			return err
		}
		s.record.printf("the machine is back: the keeper starts, the server has its id and its disk")
	}
	// Callers ask for the third model from now on. A refused caller comes again.
	end := time.Now().Add(20 * time.Second)
	for n := 16; time.Now().Before(end) && !s.record.isBroken(); n++ {
		c.stream(fmt.Sprintf("%016x", n), "/lohu930/2f", "third", 90, 30*time.Second)
		time.Sleep(300 * time.Millisecond)
	}
	return nil
}

// await waits until a condition holds, and reports whether it does.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
