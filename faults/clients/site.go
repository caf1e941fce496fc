package clients

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/faults/soak"
)

const (
	// MemoryMB is the memory of the smallest machine, in millions of bytes.
	MemoryMB = 144
	// BodyLimit is the platform's limit of a request body.
	BodyLimit = 4 << 20
	// Host is the host of all requests.
	Host = "h.example"

	// routeTimeout is longer than a case takes, so that a request that is held up isn't ended by it.
	routeTimeout   = 2 * time.Minute
	registerPeriod = 400 * time.Millisecond
	startTimeout   = 20 * time.Second
	// workTime is how long an endpoint works on a request of the route slow.
	workTime = time.Second
	// longAnswerSize is more than fits into the buffers of the kernel.
	longAnswerSize = 64 << 20
)

// Site is a gateway and a keeper, with fakes of the store and of a plain service and a model engine.
type Site struct {
	// Callers is the address of the gateway for callers, Others those of its and the keeper's other ports.
	Callers string
	Others  []string

	network  int
	store    *soak.Store
	gateway  *soak.Process
	keeper   *soak.Process
	servers  []*http.Server
	stop     chan struct{}
	maxFiles int
}

// NewSite starts a site whose gateway and keeper may each open maxFiles descriptors. Binaries is the
// directory of the programs, directory is for settings and logs.
func NewSite(binaries, directory string, maxFiles int) (*Site, error) {
	s := &Site{network: 201 + os.Getpid()%50, store: soak.NewStore(), stop: make(chan struct{}), maxFiles: maxFiles}
	if err := s.start(binaries, directory); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) address(member, port int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", s.network, member, port)
}

func (s *Site) start(binaries, directory string) error {
	if err := s.listen(s.address(1, 9000), s.store); err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	plain := endpoint{service: "plain", address: s.address(2, 8000)}
	engine := endpoint{service: "llm", address: s.address(3, 8000)}
	for _, e := range []endpoint{plain, engine} {
		if err := s.listen(e.address, e); err != nil {
			return err
		}
		go s.register(e)
	}
	s.Callers = s.address(4, 8221)
	s.Others = []string{s.address(4, 8224), s.address(4, 7600), s.address(4, 9464), s.address(3, 7600), s.address(3, 9464)}
	var err error
	s.keeper, err = s.newProcess(binaries, directory, "keeper", map[string]any{
		"id": "keeper-1", "listen": s.address(3, 7600), "engine": engine.address, "metrics": s.address(3, 9464),
		"memoryMb": MemoryMB, "orderLateness": "13s", "logLevel": "info",
	})
	if err != nil {
		return err
	}
	s.gateway, err = s.newProcess(binaries, directory, "gateway", map[string]any{
		"id": "gateway-1", "zone": "a", "callers": s.Callers, "ready": s.address(4, 8224), "links": s.address(4, 7600),
		"metrics": s.address(4, 9464), "keeperPort": 7600, "store": map[string]any{"address": s.address(1, 9000), "timeout": "700ms"},
		"grace": "8s", "repeatSlack": 9, "gateways": 1, "remoteLoads": 4, "memoryMb": MemoryMB, "logLevel": "info",
	})
	if err != nil {
		return err
	}
	return awaitAnswer("http://" + s.address(4, 8224) + "/api/readyz")
}

// newProcess starts a program with a limit of its descriptors.
func (s *Site) newProcess(binaries, directory, name string, settings any) (*soak.Process, error) {
	script, err := LimitFiles(directory, filepath.Join(binaries, name), s.maxFiles)
	if err != nil {
		return nil, err
	}
	p, err := soak.NewProcess(directory, script, name, MemoryMB, settings)
	if err != nil {
		return nil, err
	}
	return p, p.Start()
}

// LimitFiles writes a script to directory that runs a program with a limit of its descriptors. The
// shell is replaced by the program, which keeps its process id.
func LimitFiles(directory, program string, maxFiles int) (string, error) {
	path := filepath.Join(directory, filepath.Base(program))
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec '%s' \"$@\"\n", maxFiles, program)
	return path, errors.Wrap(os.WriteFile(path, []byte(text), 0o700), "write a script") //nolint:gosec // It is run.
}

// Subjects returns the processes under test.
func (s *Site) Subjects() []Subject {
	return []Subject{
		{Name: "gateway", PID: s.gateway.PID(), Memory: MemoryMB * bytesPerMB, Descriptors: s.maxFiles},
		{Name: "keeper", PID: s.keeper.PID(), Memory: MemoryMB * bytesPerMB, Descriptors: s.maxFiles},
	}
}

// Close ends all processes and fakes.
func (s *Site) Close() {
	close(s.stop)
	for _, p := range []*soak.Process{s.gateway, s.keeper} {
		if p != nil {
			p.Kill()
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

func (s *Site) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// configure writes the configuration.
func (s *Site) configure() error {
	route := func(name string) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "pathPrefix": "/" + name + "/", "kind": "safe", "service": "plain", "public": true,
			"timeoutMs": routeTimeout.Milliseconds(), "targetLatencyMs": 500, "gapAimMs": 200, "maxAttempts": 2,
		}
	}
	return s.store.Put(knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, map[string]any{
		"version": 1, "routes": []map[string]any{route("fast"), route("slow"), route("long")},
		"services": []map[string]any{
			{"name": "plain", "maxConns": 1000},
			{"name": "llm", "maxConns": 100, "engine": map[string]any{
				"slots": 8, "kvCapacity": 100000, "weightsMb": 1000, "adapterSlots": 4, "loadsPerS": 10,
				"models": []map[string]any{{"name": "m0", "weightsMb": 100, "loadTimeS": 0.3, "warmS": 0.3, "diskS": 0.3}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": BodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "firm", "apiKeys": []string{"key"}}},
	})
}

// register keeps the entry of an endpoint in the store fresh.
func (s *Site) register(e endpoint) {
	for n := 0; ; n++ {
		// The fake store accepts every write.
		_ = s.store.Put(knapweedpulley.KindEndpoints, e.id(), map[string]any{
			"service": e.service, "address": e.address, "zone": "a", "slots": 1000, "state": "ready", "born": 1, "models": []string{}, "seq": n,
		})
		select {
		case <-s.stop:
			return
		case <-time.After(registerPeriod):
		}
	}
}

// endpoint is a fake of a plain service or of a model engine that holds no models.
type endpoint struct {
	service, address string
}

func (e endpoint) id() string {
	return e.service + "-1"
}

// ServeHTTP implements http.Handler. It reads the whole body before it answers.
func (e endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/report" {
		_, _ = io.WriteString(w, `{"born":1,"models":[],"busy":false,"seq":1,"kvTotal":1000,"atHand":{"onDisk":["m0"]}}`)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", e.id()+"/"+id)
	switch {
	case strings.HasPrefix(r.URL.Path, "/slow/"):
		pause(r.Context(), workTime)
	case strings.HasPrefix(r.URL.Path, "/long/"):
		w.Header().Set("Content-Length", strconv.Itoa(longAnswerSize))
		piece := make([]byte, pieceSize)
		for range longAnswerSize / pieceSize {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
		return
	}
	_, _ = fmt.Fprintf(w, "read %d bytes", n)
}

// awaitAnswer waits until a GET request is answered with 200.
func awaitAnswer(target string) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get(target)
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Newf("%s doesn't answer with 200", target)
}
