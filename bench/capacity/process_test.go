package capacity_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/bench/capacity"
	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
)

const (
	binariesFolder = "../../.build"
	deploymentFile = "../../_fixtures/idegenvezetok.json"
	// placementTime is how long a new fleet takes at most to place its models.
	placementTime = 15 * time.Second
	// observationTime is the period over which the usage of idle processes is averaged.
	observationTime = 20 * time.Second
)

// startFleet starts a fleet of the built programs and stops it at the end of the test.
func startFleet(t *testing.T, entries, endpoints int) *fleet.Fleet {
	t.Helper()
	is := is.New(t)
	if !full() {
		t.Skip("starts processes; runs only if KNAPWEEDPULLEY_BENCH is set")
	}
	folder, err := filepath.Abs(binariesFolder)
	is.NoErr(err)
	_, err = os.Stat(filepath.Join(folder, "entry"))
	is.NoErr(err) // make build builds the programs
	d, err := fleet.LoadDeployment(deploymentFile)
	is.NoErr(err)
	d.Engines, d.Services = endpoints-1, 1
	f, cleanup, err := fleet.Start(t.Context(), fleet.Options{Binaries: folder, Deployment: d, Entries: entries})
	is.NoErr(err)
	t.Cleanup(cleanup)
	return f
}

// resourceUsage is the average usage of the processes of one role: memory in bytes, the
// share of a core, and bytes read and written per second. Only largestResident is a
// maximum.
type resourceUsage struct {
	resident        float64
	private         float64
	largestResident float64
	core            float64
	read            float64
	written         float64
}

// roles are the name prefixes of the processes that are measured.
var roles = []string{"entry-", "agent-engine-", "objectStore", "machineList"}

// measureUsage returns the resource usage by role over the observation time.
func measureUsage(t *testing.T) map[string]resourceUsage {
	t.Helper()
	before := processes(t)
	time.Sleep(observationTime)
	sums, counts := map[string]resourceUsage{}, map[string]float64{}
	for name, p := range processes(t) {
		i := slices.IndexFunc(roles, func(r string) bool { return strings.HasPrefix(name, r) })
		if i < 0 {
			continue
		}
		s, b := sums[roles[i]], before[name]
		s.resident += p.Resident
		s.private += p.Private
		s.largestResident = max(s.largestResident, p.Resident)
		s.core += (p.CPUTime - b.CPUTime).Seconds() / observationTime.Seconds()
		s.read += (p.Read - b.Read) / observationTime.Seconds()
		s.written += (p.Written - b.Written) / observationTime.Seconds()
		sums[roles[i]] = s
		counts[roles[i]]++
	}
	for r, s := range sums {
		n := counts[r]
		sums[r] = resourceUsage{s.resident / n, s.private / n, s.largestResident, s.core / n, s.read / n, s.written / n}
	}
	return sums
}

// processes returns the child processes of this process by name.
func processes(t *testing.T) map[string]capacity.Process {
	t.Helper()
	list, err := capacity.Children()
	is.New(t).NoErr(err)
	m := make(map[string]capacity.Process)
	for _, p := range list {
		m[p.Name] = p
	}
	return m
}

func TestProcesses(t *testing.T) {
	for _, size := range []struct{ entries, endpoints int }{{1, 4}, {2, 4}, {5, 4}, {2, 40}} {
		t.Run(fmt.Sprintf("%d entries, %d endpoints", size.entries, size.endpoints), func(t *testing.T) {
			startFleet(t, size.entries, size.endpoints)
			time.Sleep(placementTime)
			all := measureUsage(t)
			for _, r := range roles {
				s := all[r]
				t.Logf("PROCESS %s: %.1f MiB resident, %.1f MiB of its own, %.2f %% of a core, %.0f B/s read, %.0f B/s written",
					r, s.resident/(1<<20), s.private/(1<<20), 100*s.core, s.read, s.written)
			}
			budget := capacity.PlanBudget().Memory
			is.New(t).True(all["entry-"].largestResident > 0)
			is.New(t).True(all["entry-"].largestResident < budget)        // an idle entry
			is.New(t).True(all["agent-engine-"].largestResident < budget) // an idle agent
		})
	}
}

// repeatedRequest is a request that is sent many times.
type repeatedRequest struct {
	url string
	key string
}

// send sends the request and returns the time until the whole response is read.
func (q repeatedRequest) send(ctx context.Context) (time.Duration, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, q.url, strings.NewReader(`{"item": 7}`))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+q.key)
	began := time.Now()
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	if answer.StatusCode != http.StatusOK {
		return 0, errors.Newf("unexpected status %d, want 200", answer.StatusCode)
	}
	return time.Since(began), err
}

// TestWarmRequest compares a request through entry and agent with the same request
// sent directly to the stand-in of the plain service, alternating between the two.
func TestWarmRequest(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1, 2)
	i := slices.IndexFunc(f.Endpoints, func(e fleet.Endpoint) bool { return e.Plain })
	c := f.Customers[slices.IndexFunc(f.Customers, func(c fleet.Customer) bool { return len(c.Template.Routes) > 0 })]
	route := c.Template.Routes[0].ID
	proxied := repeatedRequest{url: fmt.Sprintf("http://%s/services/%s/items/7", f.Entries[0].Listen, route), key: c.Key}
	direct := repeatedRequest{url: fmt.Sprintf("http://%s/items/7", f.Endpoints[i].Back)}
	const warm, calls = 300, 2000
	var proxiedTimes, directTimes []time.Duration
	var before map[string]capacity.Process
	for n := range warm + calls {
		if n == warm {
			before = processes(t)
			proxiedTimes, directTimes = nil, nil
		}
		a, err := proxied.send(t.Context())
		is.NoErr(err)
		b, err := direct.send(t.Context())
		is.NoErr(err)
		proxiedTimes, directTimes = append(proxiedTimes, a), append(directTimes, b)
	}
	slices.Sort(proxiedTimes)
	slices.Sort(directTimes)
	t.Logf("FIGURE warm plain request: %s through entry and agent, %s direct, ratio %.2f (medians of %d)",
		proxiedTimes[calls/2], directTimes[calls/2], float64(proxiedTimes[calls/2])/float64(directTimes[calls/2]), calls)
	after := processes(t)
	for name, p := range after {
		b := before[name]
		if used := p.CPUTime - b.CPUTime; used > 0 {
			t.Logf("FIGURE processor time of %s: %s a request, %.0f bytes read, %.0f written",
				name, used/calls, (p.Read-b.Read)/calls, (p.Written-b.Written)/calls)
		}
	}
	is.True(proxiedTimes[0] > 0)
}
