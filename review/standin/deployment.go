package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limits and bounds of the deployment, as on the sheet of iturralde-cilindros.
const (
	graceS      = 8
	budgetSlack = 52
	portFirst   = 7600
)

// deployment is a small deployment on loopback addresses: gateways and keepers as separate
// processes, and stand-ins for the store, the servers and the clients in this process.
type deployment struct {
	root      string
	directory string
	// network is the second byte of the loopback addresses.
	network   int
	store     *store
	record    *record
	processes []*process
	closers   []func()
}

// newDeployment prepares a deployment. The programs are in target/ below the repository's root.
func newDeployment(root, directory string, record *record) (*deployment, error) {
	d := &deployment{root: root, directory: directory, store: newStore(), record: record}
	for range 100 {
		d.network = 1 + rand.IntN(250)
		listener, err := net.Listen("tcp", d.ip(200, 1)+":8225")
		if err != nil {
			continue
		}
		server := &http.Server{Handler: d.store, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = server.Serve(listener) }()
		d.closers = append(d.closers, func() { _ = server.Close() })
		return d, nil
	}
	return nil, fmt.Errorf("no loopback network is free")
}

func (d *deployment) ip(group, member int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network, group, member)
}

func (d *deployment) storeAddress() string { return d.ip(200, 1) + ":8225" }

// close kills all processes that run and ends the stand-ins.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.kill()
	}
	for _, c := range d.closers {
		c()
	}
}

// process is a program of the project.
type process struct {
	name    string
	program string
	config  string
	log     string
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// newProcess renders the settings template of a role and returns the process, not started.
func (d *deployment) newProcess(name, role string, values map[string]string) (*process, error) {
	text, err := os.ReadFile(filepath.Join(d.root, "deploy", role+".json.tmpl"))
	if err != nil {
		return nil, err
	}
	rendered := renderSections(string(text), values)
	for key, value := range values {
		rendered = strings.ReplaceAll(rendered, "{{"+key+"|json}}", value)
		rendered = strings.ReplaceAll(rendered, "{{"+key+"}}", strings.Trim(value, `"`))
	}
	if strings.Contains(rendered, "{{") {
		return nil, fmt.Errorf("template of %s has a placeholder without a value: %s", role, rendered)
	}
	p := &process{
		name: name, program: filepath.Join(d.root, "target", role),
		config: filepath.Join(d.directory, name+".json"), log: filepath.Join(d.directory, name+".log"),
	}
	if err := os.WriteFile(p.config, []byte(rendered), 0o600); err != nil {
		return nil, err
	}
	d.processes = append(d.processes, p)
	return p, nil
}

// section is a part of a template that is rendered only where the platform has a field, whose value is
// {{.}} in it.
var section = regexp.MustCompile(`(?s){{#([\w.]+)}}(.*?){{/[\w.]+}}`)

func renderSections(text string, values map[string]string) string {
	return section.ReplaceAllStringFunc(text, func(s string) string {
		parts := section.FindStringSubmatch(s)
		value, has := values[parts[1]]
		if !has {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(p.program)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "KNAPWEEDPULLEY_CONFIG=" + p.config}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	p.command, p.ended = c, ended
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// running reports whether the process runs.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) kill() {
	p.mu.Lock()
	c, ended := p.command, p.ended
	p.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-ended
}

// gatewayProcess is a gateway with its addresses.
type gatewayProcess struct {
	*process
	callers string
	ready   string
}

// newGateway returns a gateway that reaches the store at an address.
func (d *deployment) newGateway(n int, zone, storeAddress string) (*gatewayProcess, error) {
	ip := d.ip(10, n)
	g := &gatewayProcess{callers: ip + ":8221", ready: ip + ":8224"}
	var err error
	g.process, err = d.newProcess(fmt.Sprintf("front-%d", n), "gateway", map[string]string{
		"node": quote(fmt.Sprintf("front-%d", n)), "zone": quote(zone), "ip": ip,
		"listen.front": quote(g.callers), "listen.ready": quote(g.ready),
		"portRange.0": fmt.Sprint(portFirst), "platform.address": quote(storeAddress),
		"bounds.graceS": fmt.Sprint(graceS), "bounds.budgetSlack": fmt.Sprint(budgetSlack), "limits.memoryMb": "284",
	})
	return g, err
}

// newKeeper returns the keeper of an engine. The gateways reach it at listenIP.
func (d *deployment) newKeeper(n int, listenIP, engine string) (*process, error) {
	return d.newProcess(fmt.Sprintf("side-%d", n), "keeper", map[string]string{
		"node": quote(fmt.Sprintf("side-%d", n)), "ip": listenIP, "portRange.0": fmt.Sprint(portFirst),
		"app": quote(engine), "limits.memoryMb": "216",
	})
}

func quote(s string) string { return `"` + s + `"` }

// awaitReady waits until a gateway says that it is ready.
func (g *gatewayProcess) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + g.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, limit)
}

// record writes lines with the time since its start to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
