package clients_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/faults/clients"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

const (
	// enableVariable is an environment variable. Its value all enables the cases of the entry, which
	// would make the package's run longer than a minute.
	enableVariable = "KNAPWEEDPULLEY_CLIENTS"
	// manyFiles is more than any case needs. fewFiles is less than a hundred connections take.
	manyFiles, fewFiles = 1024, 96
	// patience is how long an ordinary caller repeats its request. Only a process that hangs or whose
	// connections are all held exceeds it.
	patience       = 30 * time.Second
	attemptTimeout = 5 * time.Second
)

// scenario is a crowd, the path of its requests and the descriptors that the processes may open.
type scenario struct {
	name  string
	crowd clients.Crowd
	path  string
	files int
}

// scenarios returns the cases, which are kept as they were when they showed the fault. Each guards
// against a process that exceeds its memory or that no longer answers ordinary callers.
func scenarios() []scenario {
	bodies := func(b clients.Behavior) clients.Crowd { return clients.Crowd{Clients: 60, Rounds: 3, Behavior: b} }
	return []scenario{
		{"whole bodies", bodies(clients.SendWhole), "slow", manyFiles},
		{"bodies that stop a byte short", bodies(clients.StopShort), "fast", manyFiles},
		{"large chunks that stop short", bodies(clients.SendLargeChunks), "fast", manyFiles},
		{"tiny chunks that stop short", bodies(clients.SendTinyChunks), "fast", manyFiles},
		{"bodies far over the limit, announced", bodies(clients.AnnounceTooMuch), "fast", manyFiles},
		{"bodies far over the limit, just sent", bodies(clients.SendTooMuch), "fast", manyFiles},
		{"half a head", clients.Crowd{Clients: 100, Rounds: 3, Behavior: clients.SendHalfHead}, "fast", fewFiles},
		{"answers that are never read", clients.Crowd{Clients: 100, Rounds: 1, Behavior: clients.SendRequest, Deaf: true}, "long", fewFiles},
	}
}

func TestMain(m *testing.M) {
	// The HTTP library would write log lines between those of the tests.
	logx.Disable()
	code := m.Run()
	_ = os.RemoveAll(binaries)
	os.Exit(code)
}

var (
	buildOnce sync.Once
	binaries  string
)

// buildPrograms builds the programs once and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		directory, err := os.MkdirTemp("", "clients-")
		is.New(t).NoErr(err)
		c := exec.Command("go", "build", "-o", directory+"/", "./cmd/gateway", "./cmd/keeper", "./cmd/entry", "./cmd/agent", "./standin")
		c.Dir = filepath.Join("..", "..")
		out, err := c.CombinedOutput()
		if err != nil {
			t.Fatalf("build the programs: %v\n%s", err, out)
		}
		binaries = directory
	})
	return binaries
}

// assertAnswered asserts that a request is answered with 200, perhaps after it was refused or its
// connection was closed.
func assertAnswered(t *testing.T, target, key string, size int) {
	t.Helper()
	client := http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, target, strings.NewReader(strings.Repeat("x", size)))
		is.New(t).NoErr(err)
		r.Host = clients.Host
		r.Header.Set("X-Request-Id", "ordinary")
		r.Header.Set("Authorization", "Bearer "+key)
		answer, err := client.Do(r)
		if err != nil {
			last = err.Error()
			continue
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil && answer.StatusCode == http.StatusOK {
			return
		}
		last = answer.Status + " " + string(body)
	}
	t.Errorf("an ordinary request wasn't answered: %s", last)
}

// assertWithstands runs a crowd and asserts that the subjects stay within their bounds and that the
// ordinary request is answered while the crowd is connected.
func assertWithstands(t *testing.T, o clients.Crowd, target clients.Target, subjects []clients.Subject, ordinary func()) {
	t.Helper()
	observer := clients.NewObserver(subjects...)
	settle, stop := o.Start(t.Context(), target)
	settle()
	ordinary()
	stop()
	measured, violations := observer.Stop()
	t.Log(strings.Join(measured, "; "))
	for _, v := range violations {
		t.Error(v)
	}
}

func startSite(t *testing.T, files int) *clients.Site {
	t.Helper()
	site, err := clients.NewSite(buildPrograms(t), t.TempDir(), files)
	is.New(t).NoErr(err)
	t.Cleanup(site.Close)
	return site
}

func TestGateway(t *testing.T) {
	t.Run("a body of the limit in calm", func(t *testing.T) {
		site := startSite(t, fewFiles)
		assertAnswered(t, "http://"+site.Callers+"/slow/", "key", clients.BodyLimit)
	})
	for _, c := range scenarios() {
		t.Run(c.name, func(t *testing.T) {
			site := startSite(t, c.files)
			target := clients.Target{Address: site.Callers, Host: clients.Host, Path: "/" + c.path + "/", Limit: clients.BodyLimit}
			assertWithstands(t, c.crowd, target, site.Subjects(), func() { assertAnswered(t, "http://"+site.Callers+"/fast/", "key", 10) })
		})
	}
	t.Run("half a head at the other ports", func(t *testing.T) {
		site := startSite(t, fewFiles)
		for _, address := range site.Others {
			_, stop := clients.Crowd{Clients: 20, Rounds: 1, Behavior: clients.SendHalfHead}.Start(t.Context(), clients.Target{Address: address, Host: clients.Host, Path: "/"})
			t.Cleanup(stop)
		}
		crowd := clients.Crowd{Clients: 100, Rounds: 1, Behavior: clients.SendHalfHead}
		target := clients.Target{Address: site.Others[0], Host: clients.Host, Path: "/"}
		assertWithstands(t, crowd, target, site.Subjects(), func() { assertAnswered(t, "http://"+site.Callers+"/fast/", "key", 10) })
	})
}

const (
	entryCustomer knapweedpulley.CustomerID = "crowded"
	entryModel    knapweedpulley.ModelID    = "crowded-model"
	entryRoute    knapweedpulley.RouteID    = "crowded-route"
)

// startFleet starts an entry with the agents of an engine and of a plain service. It returns the
// fleet and the subjects.
func startFleet(t *testing.T, files int) (*fleet.Fleet, []clients.Subject) {
	t.Helper()
	is := is.New(t)
	template, err := json.Marshal(customer.Template{
		Customer: entryCustomer, Weight: 1, Rate: 1e9, Burst: 1e9, Deadline: settings.Duration(2 * time.Minute), MaxBody: clients.BodyLimit,
		Models:   []customer.ModelTemplate{{ID: entryModel, Size: knapweedpulley.GiB, Replicas: 1}},
		Adapters: []customer.AdapterTemplate{}, Keys: []customer.KeyTemplate{},
		Routes: []customer.RouteTemplate{{ID: entryRoute, Idempotent: true, Access: customer.AccessKeyed}},
	})
	is.NoErr(err)
	programs := t.TempDir()
	for _, name := range []string{"entry", "agent"} {
		_, err := clients.LimitFiles(programs, filepath.Join(buildPrograms(t), name), files)
		is.NoErr(err)
	}
	is.NoErr(os.Symlink(filepath.Join(buildPrograms(t), "standin"), filepath.Join(programs, "standin")))
	f, cleanup, err := fleet.Start(context.WithoutCancel(t.Context()), fleet.Options{
		Binaries: programs, Entries: 1, Folder: t.TempDir(), MemoryMB: clients.MemoryMB,
		Deployment: fleet.Deployment{
			Name: "clients", Region: "region", Zones: []knapweedpulley.ZoneID{"zone-a"}, Engines: 1, Services: 1,
			Customers: []fleet.CustomerFixture{{Template: template}},
		},
	})
	is.NoErr(err)
	t.Cleanup(cleanup)
	names := []string{string(f.Entries[0].ID)}
	for _, e := range f.Endpoints {
		names = append(names, fleet.AgentOf(e))
	}
	subjects := make([]clients.Subject, 0, len(names))
	for _, name := range names {
		pid, err := f.PID(name)
		is.NoErr(err)
		subjects = append(subjects, clients.Subject{Name: name, PID: pid, Memory: clients.MemoryMB * 1_000_000, Descriptors: files})
	}
	return f, subjects
}

// entryTarget returns the request of a crowd at an entry. Requests with the path long are chats with
// a long stream.
func entryTarget(f *fleet.Fleet, path string) clients.Target {
	target := clients.Target{
		Address: f.Entries[0].Listen, Host: clients.Host, Path: fmt.Sprintf("/services/%s/items", entryRoute),
		Header: "Authorization: Bearer " + f.Customers[0].Key + "\r\n", Limit: clients.BodyLimit,
	}
	if path == "long" {
		target.Path = "/v1/chat/completions"
		target.Body = fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"hello"}],"max_tokens":1000000,"stream":true}`, entryModel)
	}
	return target
}

func TestEntry(t *testing.T) {
	if os.Getenv(enableVariable) != "all" {
		t.Skipf("takes more than a minute beside the gateway's cases: set %s=all", enableVariable)
	}
	answers := func(t *testing.T, f *fleet.Fleet, size int) {
		t.Helper()
		assertAnswered(t, fmt.Sprintf("http://%s/services/%s/items", f.Entries[0].Listen, entryRoute), f.Customers[0].Key, size)
	}
	t.Run("a body of the limit in calm", func(t *testing.T) {
		f, _ := startFleet(t, fewFiles)
		answers(t, f, clients.BodyLimit)
	})
	for _, c := range scenarios() {
		t.Run(c.name, func(t *testing.T) {
			f, subjects := startFleet(t, c.files)
			assertWithstands(t, c.crowd, entryTarget(f, c.path), subjects, func() { answers(t, f, 10) })
		})
	}
}
