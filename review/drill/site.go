package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. Each machine of a case has a loopback address of its own, so that the ports are
// the same on all of them, as on the platform.
const (
	portCallers = 18221
	portReady   = 18224
	portLinks   = 17600
	portStore   = 18225
	portServer  = 18080
	portMetrics = 9464
)

// memoryMB is the memory of a front machine of the small deployments, maxFDs its descriptors.
const (
	memoryMB = 284
	maxFDs   = 4100
	// graceTime is the deployments' graceS, contactTime their contactMs.
	graceTime   = 8 * time.Second
	contactTime = 3 * time.Second
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		abort()
	}
}

// abort ends a case that couldn't run.
func abort() {
	stopAll()
	if folder != "" {
		_ = os.RemoveAll(folder)
	}
	os.Exit(2)
}

// folder is the temporary folder of the case.
var folder string

// site is a small deployment on loopback addresses.
type site struct {
	store  *store
	net    string
	dir    string
	begun  time.Time
	mu     sync.Mutex
	record *os.File
}

// newSite starts the store. Its addresses are free at that moment.
func newSite(record string) *site {
	f, err := os.Create(record)
	check(err)
	dir, err := os.MkdirTemp("", "drill-")
	check(err)
	folder = dir
	s := &site{store: newStore(), dir: dir, record: f, begun: time.Now()}
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", s.ip(1)+":"+strconv.Itoa(portStore))
		if err == nil {
			_ = l.Close()
			break
		}
	}
	s.store.serve(s.ip(1) + ":" + strconv.Itoa(portStore))
	return s
}

// ip returns the address of a machine.
func (s *site) ip(n int) string { return s.net + strconv.Itoa(n) }

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, args...))
}

// finish ends all processes, writes the verdict and exits.
func (s *site) finish(broken bool, format string, args ...any) {
	stopAll()
	text := fmt.Sprintf(format, args...)
	verdict, status := "held", 0
	if broken {
		verdict, status = "BROKEN", 1
	}
	s.note("%s: %s", verdict, text)
	fmt.Println(verdict+":", text)
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
	os.Exit(status)
}

// process is a program of the project that runs on a machine.
type process struct {
	site   *site
	name   string
	args   []string
	config string
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	log    *os.File
}

var (
	processesMu sync.Mutex
	processes   []*process
	others      []*os.Process
)

// trackProcess has a process that isn't one of the project's ended with the case.
func trackProcess(p *os.Process) {
	processesMu.Lock()
	defer processesMu.Unlock()
	others = append(others, p)
}

// stopAll kills all processes that the case started.
func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range others {
		_ = p.Kill()
	}
	for _, p := range processes {
		p.mu.Lock()
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
		}
		p.mu.Unlock()
	}
}

// root returns the root of the repository.
func root() string {
	r := os.Getenv("DRILL_ROOT")
	if r == "" {
		r = "."
	}
	return r
}

// deployedCommand returns the command of a role in the deploy file, with its fields filled in.
func deployedCommand(role string) []string {
	text, err := os.ReadFile(filepath.Join(root(), "deploy/system.toml"))
	check(err)
	_, section, found := strings.Cut(string(text), "[roles."+role+"]")
	if !found {
		check(fmt.Errorf("deploy/system.toml has no role %s", role))
	}
	_, rest, _ := strings.Cut(section, "run = \"")
	run, _, _ := strings.Cut(rest, "\"")
	contracts := "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform"
	run = strings.NewReplacer("{{contracts}}", contracts, "{{bounds.evacuationMs}}", "", "{{bounds.budgetSlack}}", "52",
		"{{limits.maxFds}}", strconv.Itoa(maxFDs)).Replace(run)
	return strings.Fields(run)
}

// settings fills in the template of a role.
func (s *site) settings(role string, values map[string]string) string {
	text, err := os.ReadFile(filepath.Join(root(), "deploy/"+role+".json.tmpl"))
	check(err)
	out := string(text)
	for k, v := range values {
		quoted, _ := json.Marshal(v)
		if _, err := strconv.Atoi(v); err == nil {
			quoted = []byte(v)
		}
		out = strings.ReplaceAll(out, "{{"+k+"|json}}", string(quoted))
		out = strings.ReplaceAll(out, "{{"+k+"}}", v)
	}
	return out
}

// gateway prepares the gateway of machine n in a zone.
func (s *site) gateway(n int, zone string) *process {
	ip := s.ip(n)
	return s.program("gateway", fmt.Sprintf("front-%s-%d", zone, n), map[string]string{
		"zone": zone, "listen.front": ip + ":" + strconv.Itoa(portCallers), "listen.ready": ip + ":" + strconv.Itoa(portReady),
		"ip": ip, "portRange.0": strconv.Itoa(portLinks), "platform.address": s.ip(1) + ":" + strconv.Itoa(portStore),
		"bounds.graceS": "8", "limits.memoryMb": strconv.Itoa(memoryMB),
	})
}

// keeper prepares the keeper beside the server of machine n.
func (s *site) keeper(n int) *process {
	ip := s.ip(n)
	return s.program("keeper", fmt.Sprintf("side-%d", n), map[string]string{
		"ip": ip, "portRange.0": strconv.Itoa(portLinks), "app": ip + ":" + strconv.Itoa(portServer), "limits.memoryMb": "216",
	})
}

func (s *site) program(role, name string, values map[string]string) *process {
	values["node"] = name
	p := &process{site: s, name: name, args: deployedCommand(role), config: filepath.Join(s.dir, name+".json")}
	check(os.WriteFile(p.config, []byte(s.settings(role, values)), 0o600))
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	check(err)
	p.log = log
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	return p
}

// start starts the program with the command of the deploy file.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(filepath.Join(root(), p.args[0]), p.args[1:]...)
	cmd.Dir = root()
	cmd.Env = []string{"KNAPWEEDPULLEY_CONFIG=" + p.config, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	check(cmd.Start())
	p.cmd = cmd
	ended := make(chan struct{})
	p.ended = ended
	p.site.note("%s started, process %d", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		p.site.note("%s ended: %v", p.name, err)
		close(ended)
	}()
}

// signal sends a signal to the program.
func (p *process) signal(sig syscall.Signal) {
	p.site.note("%s gets %s", p.name, sig)
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

func (p *process) await(d time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// resident returns the resident memory of the program in bytes, without its code.
func (p *process) resident() int64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(fields[0], 10, 64)
	return n * 1024
}

// awaitReady waits until the gateway of machine n says that it is ready.
func (s *site) awaitReady(n int, d time.Duration) bool {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if s.ready(n) {
			s.note("the gateway of machine %d is ready", n)
			return true
		}
	}
	return false
}

var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (s *site) ready(n int) bool {
	r, err := probe.Get(fmt.Sprintf("http://%s:%d/api/readyz", s.ip(n), portReady))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// callers returns the address of the gateway of machine n.
func (s *site) callers(n int) string { return s.ip(n) + ":" + strconv.Itoa(portCallers) }

// Names of the configuration of all cases.
const (
	host          = "ficu95.example"
	key           = "i9n73hh2b9wu3fexd9dn"
	tenantName    = "hule930"
	unsafePrefix  = "/puxa403/"
	safePrefix    = "/cufi504/"
	streamPrefix  = "/lohu930/"
	summaryPrefix = "/pufi791/"
	ledger        = "wuno96b"
	engineName    = "huvo11a"
)

type netConn = net.Conn

type fields = map[string]any

// configuration returns a configuration like those of the small deployments.
func configuration(version int) fields {
	route := func(name, prefix, kind, service string, timeout, attempts int) fields {
		return fields{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": 150,
			"priority": 2, "service": service, "maxAttempts": attempts, "public": false,
		}
	}
	stream := route("r-stream", streamPrefix, "streaming", engineName, 15000, 2)
	stream["targetLatencyMs"], stream["gapAimMs"], stream["resumable"], stream["sticky"] = 600, 300, true, true
	summary := route("r-summary", summaryPrefix, "streaming", engineName, 20000, 1)
	summary["targetLatencyMs"], summary["gapAimMs"], summary["resumable"], summary["sticky"] = 3000, 300, false, true
	models := []fields{}
	for i := range 6 {
		models = append(models, fields{
			"name": fmt.Sprintf("m%d", i), "weightsMb": 65100, "loadTimeS": 6.0, "adapters": 8,
			"adapterMb": 12.0, "warmS": 0.76, "diskS": 0.99,
		})
	}
	return fields{
		"version": version,
		"routes": []fields{
			stream,
			summary,
			route("r-unsafe", unsafePrefix, "unsafe", ledger, 800, 1),
			route("r-safe", safePrefix, "safe", ledger, 800, 2),
		},
		"services": []fields{
			{"name": engineName, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": fields{
				"slots": 64, "kvCapacity": 120388, "weightsMb": 220000, "adapterSlots": 8, "loadsPerS": 4.5, "models": models,
			}},
			{"name": ledger, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits": fields{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []fields{{
			"name": tenantName, "apiKeys": []string{key}, "priority": 1, "unit": "tokens", "plainTokens": 200,
			"ratePerS": 32354, "burst": 32354,
		}},
	}
}

// sides starts two engines, each with its keeper, on machines of their own.
func (s *site) sides() []*engine {
	var list []*engine
	for i := range 2 {
		e := s.engine(20+i, fmt.Sprintf("m%d", i))
		e.start(fmt.Sprintf("i-engine-%d", i))
		e.keeper = s.keeper(20 + i)
		e.keeper.start()
		list = append(list, e)
	}
	return list
}
