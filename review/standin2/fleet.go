package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// apiKey and otherKey are the keys of the tenant.
const (
	apiKey   = "i9n73hh2b9wu3fexd9dn"
	otherKey = "n2ctnfzs989anu6wsjnb"
)

// gatewayOf is a gateway process with its addresses.
type gatewayOf struct {
	*process
	name    string
	front   string
	ready   string
	started time.Time
}

// smallFleet is a small deployment: gateways, and model servers with their keepers.
type smallFleet struct {
	*scene
	storeAddress string
	storeProxy   *proxy
	// key is the one that clients send.
	key      string
	gateways []*gatewayOf
	keepers  []*process
	engines  []*engine
	closers  []func()
}

// startFleet starts the store, the model servers with their keepers, and the gateways.
func startFleet(s *scene, gateways, engines int, config map[string]any) (*smallFleet, error) {
	f := &smallFleet{scene: s, key: apiKey, storeAddress: s.ip(250) + ":8225"}
	l, err := net.Listen("tcp", f.storeAddress)
	if err != nil {
		return f, err
	}
	f.closers = append(f.closers, func() { _ = l.Close() })
	go func() { _ = http.Serve(l, s.store) }()
	if s.proxied {
		address := s.ip(251) + ":8225"
		if f.storeProxy, err = newProxy(address, f.storeAddress); err != nil {
			return f, err
		}
		f.storeAddress = address
		f.closers = append(f.closers, f.storeProxy.close)
	}
	s.store.put("config", "main", config)
	spec := modelSpec{Name: "daka510000", WeightsMb: 65100, LoadTimeS: 6.2, AdapterMb: 12, WarmS: 1.2, DiskS: 1.6}
	for i := range engines {
		ip := s.ip(100 + i)
		e := &engine{
			record: s.record, store: s.store, id: fmt.Sprintf("i-engine%d", i), service: "huvo11a", address: ip + ":8228",
			zone: zoneOf(i), memory: 200000, specs: map[string]modelSpec{spec.Name: spec}, onDisk: map[string]bool{spec.Name: true},
			leaveUnanswered: func(orderBody) (time.Duration, bool) { return 0, false },
		}
		if err := e.start(); err != nil {
			return f, err
		}
		f.engines = append(f.engines, e)
		k, err := startProcess(s.root, s.directory, fmt.Sprintf("keeper-%d", i), map[string]any{
			"id": fmt.Sprintf("side-%d", i), "listen": ip + ":7600", "engine": ip + ":8228", "metrics": ip + ":9464",
			"memoryMb": 216, "orderLateness": "13s", "logLevel": "info",
		}, "target/keeper")
		if err != nil {
			return f, err
		}
		f.keepers = append(f.keepers, k)
	}
	for i := range gateways {
		ip := s.ip(200 + i)
		f.gateways = append(f.gateways, &gatewayOf{name: fmt.Sprintf("front-%d", i), front: ip + ":8221", ready: ip + ":8224"})
		if err := f.startGateway(i); err != nil {
			return f, err
		}
	}
	return f, nil
}

func zoneOf(i int) string {
	return "hu-central-" + string(rune('a'+i%3))
}

func (f *smallFleet) startGateway(i int) error {
	g, ip := f.gateways[i], f.ip(200+i)
	p, err := startProcess(f.root, f.directory, g.name, map[string]any{
		"id": g.name, "zone": zoneOf(i), "callers": g.front, "ready": g.ready, "links": ip + ":7600", "metrics": ip + ":9464",
		"keeperPort": 7600, "store": map[string]any{"address": f.storeAddress, "timeout": "700ms"}, "grace": "8s",
		"gateways": 50, "remoteLoads": 2, "memoryMb": 284, "logLevel": "info",
	}, "target/gateway", "--contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
		"--evacuation-ms=", "--repeat-slack=54", "--max-fds=4200")
	if err != nil {
		return err
	}
	g.process, g.started = p, time.Now()
	return nil
}

func (f *smallFleet) awaitReady() error {
	for _, g := range f.gateways {
		if !await(15*time.Second, func() bool { return ready(g.ready) }) {
			return fmt.Errorf("gateway %s isn't ready", g.name)
		}
	}
	return nil
}

func (f *smallFleet) close() {
	for _, g := range f.gateways {
		g.process.kill()
	}
	for _, k := range f.keepers {
		k.kill()
	}
	for _, e := range f.engines {
		e.stop()
	}
	for _, c := range f.closers {
		c()
	}
}
