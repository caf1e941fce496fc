package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	gateways = 3
	engines  = 3
	plains   = 2
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// storeTimeout bounds a gateway's call to the store.
	storeTimeout = 700 * time.Millisecond
	// networks is the number of loopback networks that worlds share.
	networks = 200
	// startTimeout bounds the wait for the first service.
	startTimeout = 20 * time.Second
)

// Gateway is a gateway process with what it connects through.
type Gateway struct {
	*Process
	callers string
	ready   string
	store   *Proxy
}

// Server is an endpoint with what leads to it and, at an engine, its keeper.
type Server struct {
	*Endpoint
	proxy *Proxy
	// keeper and link are nil at a plain service.
	keeper *Process
	link   *Proxy
}

// World is a fleet of processes and stand-ins.
type World struct {
	directory string
	binaries  string
	// network is the second number of the loopback addresses.
	network  int
	store    *Store
	records  *Records
	web      *http.Server
	gateways []*Gateway
	servers  []*Server

	mu      sync.Mutex
	version uint64
	keys    []string
	revoked map[string]time.Time
	// storeFault is when the store last failed for all.
	storeFault time.Time
}

// NewWorld starts a fleet. Binaries is where the programs are, and directory is
// for settings and logs.
func NewWorld(binaries, directory string, random *rand.Rand) (*World, error) {
	w := &World{
		directory: directory, binaries: binaries, network: 1 + random.IntN(networks),
		store: NewStore(), records: NewRecords(),
		keys: []string{"key-0", "key-1", "key-2", "key-3"}, revoked: make(map[string]time.Time),
	}
	if err := w.start(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) address(group, member, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.network, group, member, port)
}

func (w *World) start() error {
	listener, err := w.listen()
	if err != nil {
		return err
	}
	w.web = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.web.Serve(listener) }()
	if err := w.Configure(); err != nil {
		return err
	}
	for i := range engines {
		if err := w.addEngine(i + 1); err != nil {
			return err
		}
	}
	for i := range plains {
		if err := w.addPlain(i + 1); err != nil {
			return err
		}
	}
	for i := range gateways {
		if err := w.addGateway(i + 1); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// listen takes the first network that no other world on the machine has.
func (w *World) listen() (net.Listener, error) {
	for range networks {
		listener, err := net.Listen("tcp", w.address(1, 1, 9000))
		if err == nil {
			return listener, nil
		}
		w.network = 1 + w.network%networks
	}
	return nil, errors.New("all loopback networks are taken")
}

func (w *World) addEngine(n int) error {
	s := &Server{Endpoint: NewEndpoint("llm", w.address(31, n, 8000), w.address(30, n, 8000), true, w.store, w.records)}
	var err error
	if s.proxy, err = NewProxy(s.public, s.listen); err != nil {
		return err
	}
	if s.link, err = NewProxy(w.address(30, n, 7600), w.address(31, n, 7600)); err != nil {
		return err
	}
	s.keeper, err = NewProcess(w.directory, filepath.Join(w.binaries, "keeper"), fmt.Sprintf("keeper-%d", n), map[string]any{
		"id": fmt.Sprintf("keeper-%d", n), "listen": w.address(31, n, 7600), "engine": s.listen,
		"metrics": w.address(31, n, 9464), "memoryMb": 216, "logLevel": "info",
	})
	if err != nil {
		return err
	}
	w.servers = append(w.servers, s)
	return errors.CombineErrors(s.Start(), s.keeper.Start())
}

func (w *World) addPlain(n int) error {
	s := &Server{Endpoint: NewEndpoint("plain", w.address(41, n, 8000), w.address(40, n, 8000), false, w.store, w.records)}
	var err error
	if s.proxy, err = NewProxy(s.public, s.listen); err != nil {
		return err
	}
	w.servers = append(w.servers, s)
	return s.Start()
}

func (w *World) addGateway(n int) error {
	g := &Gateway{callers: w.address(10, n, 8221), ready: w.address(10, n, 8224)}
	var err error
	if g.store, err = NewProxy(w.address(20, n, 9000), w.address(1, 1, 9000)); err != nil {
		return err
	}
	g.Process, err = NewProcess(w.directory, filepath.Join(w.binaries, "gateway"), fmt.Sprintf("gateway-%d", n), map[string]any{
		"id": fmt.Sprintf("gateway-%d", n), "zone": "a", "callers": g.callers, "ready": g.ready,
		"links": w.address(10, n, 7600), "metrics": w.address(10, n, 9464), "keeperPort": 7600,
		"store": map[string]any{"address": w.address(20, n, 9000), "timeout": storeTimeout.String()},
		"grace": grace.String(), "repeatSlack": 50, "gateways": gateways, "remoteLoads": 4, "memoryMb": 284,
		"logLevel": "info",
	})
	if err != nil {
		return err
	}
	w.gateways = append(w.gateways, g)
	return g.Start()
}

// awaitReady waits until all gateways take callers.
func (w *World) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Now().After(end) {
				return errors.Newf("%s isn't ready after %s", g.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (g *Gateway) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + g.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Configure writes the next version of the configuration.
func (w *World) Configure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	routes := []map[string]any{
		route("safe", "safe", "plain", false), route("unsafe", "unsafe", "plain", false),
		route("stream", "streaming", "llm", true), route("once", "streaming", "llm", false),
	}
	for i := range w.version % 7 {
		routes = append(routes, route(fmt.Sprintf("extra-%d", i), "safe", "plain", false))
	}
	models := make([]map[string]any, 0, modelCount)
	for i := range modelCount {
		models = append(models, map[string]any{
			"name": fmt.Sprintf("m%d", i), "weightsMb": modelMB, "loadTimeS": 0.3, "warmS": 0.3, "diskS": 0.3,
		})
	}
	return w.store.Put(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, map[string]any{
		"version": w.version, "routes": routes,
		"services": []map[string]any{
			{"name": "plain", "maxConns": 100},
			{"name": "llm", "maxConns": 100, "engine": map[string]any{
				"slots": 8, "kvCapacity": 100000, "weightsMb": places*modelMB + 1, "adapterSlots": 2, "loadsPerS": 10,
				"models": models,
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "firm", "apiKeys": w.keys}},
	})
}

// modelCount is the number of models; the engines hold some of them at a time.
const modelCount = 4

func route(name, kind, service string, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
		"timeoutMs": 3000, "targetLatencyMs": 500, "gapAimMs": 200, "maxAttempts": 2, "resumable": resumable,
	}
}

// Revoke takes the oldest key away and adds a new one.
func (w *World) Revoke() error {
	w.mu.Lock()
	gone := w.keys[0]
	w.keys = append(w.keys[1:], fmt.Sprintf("key-%d", len(w.revoked)+len(w.keys)))
	w.mu.Unlock()
	if err := w.Configure(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revoked[gone] = time.Now()
	return nil
}

// RevokedAt returns when a key was taken away, if it was.
func (w *World) RevokedAt(key string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, gone := w.revoked[key]
	return at, gone
}

// Key draws a key, at times one that was taken away.
func (w *World) Key(random *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if random.IntN(10) == 0 {
		for k := range w.revoked {
			return k
		}
	}
	return w.keys[len(w.keys)/2+random.IntN(len(w.keys)-len(w.keys)/2)]
}

// FailStore makes all calls to the store fail, or ends that.
func (w *World) FailStore(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.failing.Store(failing)
	w.storeFault = time.Now()
}

// Calm returns for how long a gateway has been undisturbed and in touch with
// the store.
func (w *World) Calm(g *Gateway) time.Duration {
	w.mu.Lock()
	store := time.Since(w.storeFault)
	if w.store.failing.Load() {
		store = 0
	}
	w.mu.Unlock()
	return min(g.Calm(), g.store.Calm(), store)
}

// Close ends all that the world started.
func (w *World) Close() {
	for _, g := range w.gateways {
		g.Kill()
		g.store.Close()
	}
	for _, s := range w.servers {
		if s.keeper != nil {
			s.keeper.Kill()
			s.link.Close()
		}
		s.proxy.Close()
		s.Close()
	}
	if w.web != nil {
		_ = w.web.Close()
	}
}

// Logs copies the logs of the processes to a directory.
func (w *World) Logs(to string) error {
	if err := os.MkdirAll(to, 0o750); err != nil {
		return errors.Wrap(err, "keep the logs")
	}
	logs, err := filepath.Glob(filepath.Join(w.directory, "*.log"))
	if err != nil {
		return errors.Wrap(err, "find the logs")
	}
	for _, path := range logs {
		data, err := os.ReadFile(path) //nolint:gosec // The soak wrote it.
		if err != nil {
			return errors.Wrap(err, "read a log")
		}
		//nolint:gosec // Who runs the soak names the directory.
		if err := os.WriteFile(filepath.Join(to, filepath.Base(path)), data, 0o600); err != nil {
			return errors.Wrap(err, "keep a log")
		}
	}
	return nil
}

// Faults returns the promises that were broken.
func (w *World) Faults() []string {
	return w.records.Faults()
}
