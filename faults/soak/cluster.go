package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	gatewayCount      = 3
	engineCount       = 3
	plainServiceCount = 2
	gatewayMemoryMB   = 284
	keeperMemoryMB    = 216
	// gracePeriod is the time that a process has between SIGTERM and SIGKILL.
	gracePeriod = 8 * time.Second
	// storeTimeout limits a gateway's call to the store.
	storeTimeout = 700 * time.Millisecond
	// loopbackNetworkCount is the number of loopback networks that clusters on the same
	// machine choose from.
	loopbackNetworkCount = 200
	// startTimeout limits the wait until each gateway is ready after the start.
	startTimeout = 20 * time.Second
)

// Gateway is a gateway process with its addresses and its proxy to the store.
type Gateway struct {
	*Process
	callerAddress string
	readyAddress  string
	storeProxy    *Proxy
}

// Backend is an endpoint with its proxies.
type Backend struct {
	*Endpoint
	// linkProxy leads to the keeper. It is nil for a plain service.
	linkProxy *Proxy
}

// Cluster is the system under test: gateway and keeper processes, and fakes of the store
// and the endpoints.
type Cluster struct {
	directory string
	binaries  string
	// loopbackNetwork is the second byte of the cluster's loopback addresses.
	loopbackNetwork int
	store           *Store
	recorder        *Recorder
	storeServer     *http.Server
	gateways        []*Gateway
	backends        []*Backend
	// spare is the only endpoint of the service spare, to which a part of the route safe may lead.
	spare *Backend
	// late is the only endpoint of the service late. It runs only beside an odd entry in the store.
	late *Backend
	// cold is the only endpoint of the service cold, and is cold after each start.
	cold *Backend

	mu      sync.Mutex
	version uint64
	// extraTimeout is added to the timeouts of all routes.
	extraTimeout  time.Duration
	keys          []string
	withdrawnKeys map[string]time.Time
	addedKeys     map[string]time.Time
	// holders are the customers that have held a key that was passed on.
	holders map[string][]holding
	// evacuations are the times for which zoneEvacuated was evacuated.
	evacuations []evacuation
	// storeDisturbedAt is when the store last began or ceased to fail.
	storeDisturbedAt time.Time
}

// NewCluster starts a cluster and returns it when all gateways are ready. Binaries is the
// directory of the programs, and directory is for settings and logs.
func NewCluster(binaries, directory string, random *rand.Rand) (*Cluster, error) {
	c := &Cluster{
		directory: directory, binaries: binaries, loopbackNetwork: 1 + random.IntN(loopbackNetworkCount),
		store: NewStore(), recorder: NewRecorder(),
		keys: []string{"key-0", "key-1", "key-2", "key-3"}, withdrawnKeys: make(map[string]time.Time), addedKeys: make(map[string]time.Time),
		holders: make(map[string][]holding),
	}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) address(group, member, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", c.loopbackNetwork, group, member, port)
}

func (c *Cluster) start() error {
	listener, err := c.listenOnFreeNetwork()
	if err != nil {
		return err
	}
	c.storeServer = &http.Server{Handler: c.store, ReadHeaderTimeout: time.Second}
	go func() { _ = c.storeServer.Serve(listener) }()
	if err := c.WriteConfiguration(); err != nil {
		return err
	}
	for i := range engineCount {
		if err := c.addEngine(i + 1); err != nil {
			return err
		}
	}
	for i := range plainServiceCount {
		s, err := c.startPlainService("plain", i+1)
		if err != nil {
			return err
		}
		c.backends = append(c.backends, s)
	}
	if c.spare, err = c.startPlainService("spare", plainServiceCount+1); err != nil {
		return err
	}
	if c.late, err = c.startPlainService("late", plainServiceCount+2); err != nil {
		return err
	}
	if err := c.late.Crash(); err != nil {
		return err
	}
	if c.cold, err = c.startPlainService("cold", plainServiceCount+3); err != nil {
		return err
	}
	for i := range gatewayCount {
		if err := c.addGateway(i + 1); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// listenOnFreeNetwork opens the listener of the store on the first loopback network that
// no other cluster or program on the machine uses.
func (c *Cluster) listenOnFreeNetwork() (net.Listener, error) {
	for range loopbackNetworkCount {
		if listener, err := c.listenUnlessUsed(); err == nil {
			return listener, nil
		}
		c.loopbackNetwork = 1 + c.loopbackNetwork%loopbackNetworkCount
	}
	return nil, errors.New("cannot listen on any of the loopback networks")
}

// listenUnlessUsed opens the listener of the store, unless another program uses the address of the
// first engine's links.
func (c *Cluster) listenUnlessUsed() (net.Listener, error) {
	links, err := net.Listen("tcp", c.address(30, 1, 7600))
	if err != nil {
		return nil, err
	}
	defer func() { _ = links.Close() }()
	return net.Listen("tcp", c.address(1, 1, 9000))
}

func (c *Cluster) addEngine(n int) error {
	s := &Backend{Endpoint: NewEndpoint("llm", c.address(31, n, 8000), c.address(30, n, 8000), true, c.store, c.recorder)}
	if n == engineCount {
		s.zone = zoneEvacuated
	}
	var err error
	if s.proxy, err = NewProxy(s.publicAddress, s.listenAddress); err != nil {
		return err
	}
	if s.linkProxy, err = NewProxy(c.address(30, n, 7600), c.address(31, n, 7600)); err != nil {
		return err
	}
	s.keeper, err = NewProcess(c.directory, filepath.Join(c.binaries, "keeper"), fmt.Sprintf("keeper-%d", n), keeperMemoryMB, map[string]any{
		"id": fmt.Sprintf("keeper-%d", n), "listen": c.address(31, n, 7600), "engine": s.listenAddress,
		"metrics": c.address(31, n, 9464), "memoryMb": keeperMemoryMB,
		"orderLateness": (maxLateness + time.Second).String(), "logLevel": "info",
	})
	if err != nil {
		return err
	}
	c.backends = append(c.backends, s)
	return errors.CombineErrors(s.Start(), s.keeper.Start())
}

// PeakMemory returns the most bytes that one of the processes has taken.
func (c *Cluster) PeakMemory() int64 {
	var peak int64
	for _, p := range c.processes() {
		peak = max(peak, p.PeakMemory())
	}
	return peak
}

// processes returns the gateways and keepers.
func (c *Cluster) processes() []*Process {
	var list []*Process
	for _, g := range c.gateways {
		list = append(list, g.Process)
	}
	for _, s := range c.backends[:engineCount] {
		list = append(list, s.keeper)
	}
	return list
}

// endpoints returns the endpoints that run all the time.
func (c *Cluster) endpoints() []*Backend {
	return append(slices.Clone(c.backends), c.spare)
}

// InjectAtAll begins a fault of all endpoints. Seed determines its random choices.
func (c *Cluster) InjectAtAll(f EndpointFault, d time.Duration, seed uint64) {
	for _, s := range c.endpoints() {
		s.Inject(f, d, seed)
	}
}

func (c *Cluster) startPlainService(service string, n int) (*Backend, error) {
	s := &Backend{Endpoint: NewEndpoint(service, c.address(41, n, 8000), c.address(40, n, 8000), false, c.store, c.recorder)}
	if n == plainServiceCount {
		s.zone = zoneEvacuated
	}
	var err error
	if s.proxy, err = NewProxy(s.publicAddress, s.listenAddress); err != nil {
		return nil, err
	}
	return s, s.Start()
}

func (c *Cluster) addGateway(n int) error {
	g := &Gateway{callerAddress: c.address(10, n, 8221), readyAddress: c.address(10, n, 8224)}
	var err error
	if g.storeProxy, err = NewProxy(c.address(20, n, 9000), c.address(1, 1, 9000)); err != nil {
		return err
	}
	g.Process, err = NewProcess(c.directory, filepath.Join(c.binaries, "gateway"), fmt.Sprintf("gateway-%d", n), gatewayMemoryMB, map[string]any{
		"id": fmt.Sprintf("gateway-%d", n), "zone": "a", "callers": g.callerAddress, "ready": g.readyAddress,
		"links": c.address(10, n, 7600), "metrics": c.address(10, n, 9464), "keeperPort": 7600,
		"store": map[string]any{"address": c.address(20, n, 9000), "timeout": storeTimeout.String()},
		"grace": gracePeriod.String(), "repeatSlack": 9, "gateways": gatewayCount, "remoteLoads": 4, "memoryMb": gatewayMemoryMB,
		"evacuationTime": evacuationLimit.String(), "logLevel": "info",
	})
	if err != nil {
		return err
	}
	c.gateways = append(c.gateways, g)
	return g.Start()
}

// awaitReady waits until all gateways report that they are ready.
func (c *Cluster) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, g := range c.gateways {
		for !g.isReady() {
			if time.Now().After(end) {
				return errors.Newf("%s is not ready after %s", g.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (g *Gateway) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + g.readyAddress + "/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// WriteConfiguration writes the next version of the configuration. The number of its extra
// routes, the timeouts and the weights of the route safe depend on the version.
func (c *Cluster) WriteConfiguration() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version += 3
	routes := []map[string]any{
		route("safe", "safe", "plain", false), route("unsafe", "unsafe", "plain", false),
		route("stream", "streaming", "llm", true), route("once", "streaming", "llm", false),
	}
	for i := range routes {
		routes[i]["timeoutMs"] = (shortestRouteTimeout + c.extraTimeout + time.Duration((c.version+uint64(i))%4)*500*time.Millisecond).Milliseconds()
	}
	if weight := float64(c.version%4) / 8; weight > 0 {
		routes[0]["trafficSplit"] = []map[string]any{
			{"service": "plain", "weight": 1 - weight}, {"service": "spare", "weight": weight},
		}
	}
	long := route(string(Long), "unsafe", "plain", false)
	long["timeoutMs"] = longRouteTimeout.Milliseconds()
	late := route(string(Late), "safe", "late", false)
	late["public"] = true
	routes = append(routes, long, late, route(string(Cold), "safe", "cold", false))
	for i := range c.version % 7 {
		routes = append(routes, route(fmt.Sprintf("extra-%d", i), "safe", "plain", false))
	}
	models := make([]map[string]any, 0, modelCount+coldModelCount)
	for i := range modelCount {
		models = append(models, map[string]any{
			"name": fmt.Sprintf("m%d", i), "weightsMb": modelSizeMB, "loadTimeS": 0.3, "warmS": 0.3, "diskS": 0.3,
		})
	}
	for i := range coldModelCount {
		models = append(models, map[string]any{
			"name": fmt.Sprint(coldModelPrefix, i), "weightsMb": modelSizeMB, "loadTimeS": coldLoadTime.Seconds(),
			"warmS": coldLoadTime.Seconds(), "diskS": coldLoadTime.Seconds(),
		})
	}
	return c.store.Put(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, map[string]any{
		"version": c.version, "routes": routes,
		"services": []map[string]any{
			{"name": "plain", "maxConns": 100},
			{"name": "spare", "maxConns": 100},
			{"name": "late", "maxConns": 100},
			{"name": "cold", "maxConns": 100, "coldStartS": coldTime.Seconds(), "coldPerS": coldPerSecond},
			{"name": "llm", "maxConns": 100, "engine": map[string]any{
				"slots": 8, "kvCapacity": 100000, "weightsMb": modelsPerEngine*modelSizeMB + 1, "adapterSlots": adapterSlots, "loadsPerS": 10,
				"models": models,
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": longBodySize, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": c.customers(),
	})
}

// shortestRouteTimeout is the shortest timeout that a version gives to a route that callers use.
const shortestRouteTimeout = 2500 * time.Millisecond

// longRouteTimeout is the timeout of the route for long bodies.
const longRouteTimeout = 6 * time.Second

// modelCount is the number of models. An engine holds modelsPerEngine of them at a time.
const modelCount = 4

func route(name, kind, service string, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
		"timeoutMs": 3000, "targetLatencyMs": 500, "gapAimMs": 200, "maxAttempts": maxEndpoints, "resumable": resumable,
	}
}

// WithdrawKey replaces the oldest key by a new one in the configuration.
func (c *Cluster) WithdrawKey() error {
	c.mu.Lock()
	withdrawn := c.keys[0]
	added := fmt.Sprintf("key-%d", len(c.addedKeys)+len(c.keys))
	c.keys = append(c.keys[1:], added)
	// Until the store has confirmed it, the key counts as added now.
	c.addedKeys[added] = time.Now()
	c.mu.Unlock()
	if err := c.WriteConfiguration(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawnKeys[withdrawn], c.addedKeys[added] = time.Now(), time.Now()
	return nil
}

// AddedAt returns when a key was added. It returns the zero time for a key that was there from the
// start.
func (c *Cluster) AddedAt(key string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list := c.holders[key]; len(list) > 0 {
		return list[0].from
	}
	return c.addedKeys[key]
}

// WithdrawnAt returns when a key was withdrawn, and whether it was.
func (c *Cluster) WithdrawnAt(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, withdrawn := c.withdrawnKeys[key]
	return at, withdrawn
}

// RandomKey draws one of the newer half of the keys or, with a probability of 1 in 10, a
// withdrawn key if there is one.
func (c *Cluster) RandomKey(random *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if random.IntN(10) == 0 && len(c.withdrawnKeys) > 0 {
		withdrawn := slices.Sorted(maps.Keys(c.withdrawnKeys))
		return withdrawn[random.IntN(len(withdrawn))]
	}
	return c.keys[len(c.keys)/2+random.IntN(len(c.keys)-len(c.keys)/2)]
}

// SetStoreFailing sets whether all HTTP requests to the store fail.
func (c *Cluster) SetStoreFailing(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.failing.Store(failing)
	c.storeDisturbedAt = time.Now()
}

// UndisturbedFor returns for how long a gateway, its proxy to the store and the store have
// been free of faults.
func (c *Cluster) UndisturbedFor(g *Gateway) time.Duration {
	c.mu.Lock()
	store := time.Since(c.storeDisturbedAt)
	if c.store.failing.Load() {
		store = 0
	}
	c.mu.Unlock()
	return min(g.UndisturbedFor(), g.storeProxy.UndisturbedFor(), store)
}

// Close ends all processes, fakes and proxies of the cluster.
func (c *Cluster) Close() {
	for _, g := range c.gateways {
		g.Kill()
		g.storeProxy.Close()
	}
	for _, s := range append(c.endpoints(), c.late, c.cold) {
		if s == nil {
			continue
		}
		if s.keeper != nil {
			s.keeper.Kill()
			s.linkProxy.Close()
		}
		s.proxy.Close()
		s.Close()
	}
	if c.storeServer != nil {
		_ = c.storeServer.Close()
	}
}

// SaveLogs copies the logs of the processes to the directory target.
func (c *Cluster) SaveLogs(target string) error {
	if err := os.MkdirAll(target, 0o750); err != nil {
		return errors.Wrap(err, "create the directory for logs")
	}
	logs, err := filepath.Glob(filepath.Join(c.directory, "*.log"))
	if err != nil {
		return errors.Wrap(err, "list the log files")
	}
	for _, path := range logs {
		data, err := os.ReadFile(path) //nolint:gosec // The soak wrote it.
		if err != nil {
			return errors.Wrap(err, "read a log file")
		}
		//nolint:gosec // Who runs the soak names the directory.
		if err := os.WriteFile(filepath.Join(target, filepath.Base(path)), data, 0o600); err != nil {
			return errors.Wrap(err, "copy a log file")
		}
	}
	return nil
}

// Violations returns a description of each broken guarantee.
func (c *Cluster) Violations() []string {
	return c.recorder.Violations()
}
