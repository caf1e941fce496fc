package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// orderTime is how long a plain server runs an order, listTime how long it prepares a list.
	orderTime = 30 * time.Millisecond
	listTime  = time.Second
	// plainServers is the number of servers of the service, and crashes how many of them crash at
	// the same moment: a share of 0.25.
	plainServers = 8
	crashes      = 2
	// crashDown is how long a crashed server is down.
	crashDown = 2 * time.Second
	// steadyAfter is the time after the last crash from which on the state is steady.
	steadyAfter = 5 * time.Second
	// orderGap is the time between two orders, listGap the pause of a client between two requests for
	// the list.
	orderGap = 50 * time.Millisecond
	listGap  = 200 * time.Millisecond
)

// plainServer is a stand-in for a server of a plain service.
type plainServer struct {
	record  *record
	id      string
	address string
	mu      sync.Mutex
	server  *http.Server
	conns   map[net.Conn]struct{}
	// running counts the requests that run, by method.
	running map[string]int
}

func (s *plainServer) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns, s.running = make(map[net.Conn]struct{}), make(map[string]int)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.conns[c] = struct{}{}
		case http.StateClosed:
			delete(s.conns, c)
		}
	}}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.server)
	return nil
}

// runs reports whether the server runs a request of the method.
func (s *plainServer) runs(method string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[method] > 0
}

// crash ends the server and resets its channels.
func (s *plainServer) crash() {
	s.mu.Lock()
	s.record.printf("server %s crashes while it runs %v", s.id, s.running)
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	server := s.server
	s.mu.Unlock()
	_ = server.Close()
}

func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.record.printf("server %s runs %s %s", s.id, r.Method, id)
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.running[r.Method]++
	running := s.running
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		running[r.Method]--
	}()
	work := orderTime
	if r.Method == http.MethodGet {
		work = listTime
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(work):
	}
	w.Header().Set("X-Server-Stamp", s.id+"."+id)
	_, _ = io.WriteString(w, "balance\n")
}

// tally counts the answers to the requests on a route in a steady state.
type tally struct {
	sent, served atomic.Int64
}

// refusedForGood checks rule CONFIG for a route that was added later, after two servers have crashed
// in turn.
func refusedForGood(d *deployment, trouble bool) ([]string, error) {
	var servers []*plainServer
	for n := range plainServers {
		s := &plainServer{record: d.record, id: fmt.Sprintf("i-%d", n+1), address: d.ip(128, n+1) + ":8080"}
		if err := s.start(); err != nil {
			return nil, err
		}
		servers = append(servers, s)
		d.store.put("servers", s.id, map[string]any{
			"service": "wuno96b", "address": s.address, "zone": "cuyo-a", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
			"seq": 1, "born": time.Now().UnixMilli(),
		})
	}
	// The gateways know each other by the reports of the keepers.
	e := &engine{
		record: d.record, id: "i-100", service: "huvo11a", zone: "cuyo-a", address: d.ip(30, 1) + ":8080",
		models: []string{"daka510000"}, born: time.Now().UnixMilli(), eventGap: 20 * time.Millisecond, onArrival: func(*http.Request) {},
	}
	if err := d.startEngine(e); err != nil {
		return nil, err
	}
	k, err := d.newKeeper(1, d.ip(30, 1), e.address)
	if err != nil {
		return nil, err
	}
	if err := k.start(); err != nil {
		return nil, err
	}
	configure := func(version int, later bool) {
		routes := []map[string]any{{
			"name": "r-1", "host": "ficu95.example", "pathPrefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 800,
			"targetLatencyMs": 150, "priority": 2, "service": "wuno96b", "maxAttempts": 1, "public": false,
		}}
		if later {
			routes = append(routes, map[string]any{
				"name": "r-2", "host": "ficu95.example", "pathPrefix": "/cufi504/", "kind": "safe", "timeoutMs": 15000,
				"targetLatencyMs": 3000, "priority": 2, "service": "wuno96b", "maxAttempts": 1, "public": false,
			})
		}
		d.store.put("config", "main", map[string]any{
			"version": version, "routes": routes,
			"services": []map[string]any{
				engineService(e.service, e.models),
				{"name": "wuno96b", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
			},
			"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
			"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{"key-1"}, "priority": 1}},
		})
	}
	configure(7, false)
	var gateways []*gatewayProcess
	for n := range 2 {
		g, err := d.newGateway(n+1, "cuyo-"+string(rune('a'+n)), d.storeAddress())
		if err != nil {
			return nil, err
		}
		if err := g.start(); err != nil {
			return nil, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.awaitReady(20 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	configure(9, true)
	d.record.printf("version 9 adds route r-2")
	time.Sleep(3 * time.Second)
	var steady atomic.Bool
	var first, later tally
	var count atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	send := func(t *tally, g *gatewayProcess, method, path, body string) {
		counts := steady.Load()
		id := fmt.Sprintf("9c41d07b%08x", count.Add(1))
		status, text, err := askPlain(g.callers, method, path, id, body)
		d.record.printf("%s %s of %s gets status %d %s, error %v", method, path, id, status, text, err)
		if counts {
			t.sent.Add(1)
			if status == http.StatusOK && err == nil {
				t.served.Add(1)
			}
		}
	}
	repeat := func(gap time.Duration, f func(n int)) {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(gap):
				}
				f(n)
			}
		})
	}
	repeat(orderGap, func(n int) {
		group.Go(func() { send(&first, gateways[n%2], http.MethodPost, "/puxa403/2f", fmt.Sprintf("order %d", n)) })
	})
	for _, g := range gateways {
		repeat(listGap, func(int) { send(&later, g, http.MethodGet, "/cufi504/2f", "") })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		busy := awaitLists(servers)
		if busy == nil {
			return nil, fmt.Errorf("no two servers prepared lists at the same time")
		}
		for _, s := range busy {
			s.crash()
		}
		time.Sleep(crashDown)
		for _, s := range busy {
			d.store.remove("servers", s.id)
			s.id += "-again"
			if err := s.start(); err != nil {
				return nil, err
			}
			d.store.put("servers", s.id, map[string]any{
				"service": "wuno96b", "address": s.address, "zone": "cuyo-a", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
				"seq": 1, "born": time.Now().UnixMilli(),
			})
			d.record.printf("server %s is back", s.id)
		}
	} else {
		time.Sleep(crashDown)
	}
	time.Sleep(steadyAfter)
	steady.Store(true)
	d.record.printf("the state is steady")
	time.Sleep(30 * time.Second)
	steady.Store(false)
	close(stop)
	group.Wait()
	share := func(t *tally) float64 { return float64(t.served.Load()) / float64(max(1, t.sent.Load())) }
	text := fmt.Sprintf("in 30 s of steady state, %d of %d requests on the route that was added later were served, and %d of %d on the first route",
		later.served.Load(), later.sent.Load(), first.served.Load(), first.sent.Load())
	d.record.printf("%s", text)
	if later.sent.Load() >= 20 && share(&later) < share(&first)/4 {
		return []string{"CONFIG: " + text}, nil
	}
	if share(&first) < 0.5 {
		return nil, fmt.Errorf("only %.2f of the requests on the first route were served", share(&first))
	}
	return nil, nil
}

// awaitLists returns the servers that prepare a list, once there are as many as shall crash. It returns
// nil if that doesn't happen within some seconds.
func awaitLists(servers []*plainServer) []*plainServer {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var busy []*plainServer
		for _, s := range servers {
			if s.runs(http.MethodGet) {
				busy = append(busy, s)
			}
		}
		if len(busy) == crashes {
			return busy
		}
	}
	return nil
}

// askPlain sends a request over a new channel and reads the answer. It returns the status and the
// first bytes of the body.
func askPlain(address, method, path, id, body string) (int, string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(16 * time.Second))
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 15000\r\n"+
		"Authorization: Bearer key-1\r\n%s\r\n%s", method, path, id, length, body); err != nil {
		return 0, "", err
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(r.Body)
	return r.StatusCode, fmt.Sprintf("%.120q", data), err
}
