package processes

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/standin/engine"
	"github.com/knapweedpulley/knapweedpulley/standin/objects"
	"github.com/knapweedpulley/knapweedpulley/standin/record"
)

// samplePeriod is the time between two samples of the engines.
const samplePeriod = 200 * time.Millisecond

// heldModel is a model that an engine holds.
type heldModel struct {
	endpoint knapweedpulley.EndpointID
	model    knapweedpulley.ModelID
}

// Monitor compares the permits with the state of the engines while a row runs.
type Monitor struct {
	fleet *fleet.Fleet
	stop  chan struct{}
	group sync.WaitGroup

	Memory   CheckResult
	Permits  CheckResult
	Replicas CheckResult
}

// CheckResult is the number of observations checked, and a description of each
// violation.
type CheckResult struct {
	Checked    int
	Violations []string
}

// Check counts one observation, and records a violation if ok is false.
func (f *CheckResult) Check(ok bool, format string, args ...any) {
	f.Checked++
	if !ok {
		f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
	}
}

// StartMonitor starts a goroutine that samples the fleet every samplePeriod.
func StartMonitor(ctx context.Context, f *fleet.Fleet) *Monitor {
	mo := &Monitor{fleet: f, stop: make(chan struct{})}
	mo.group.Go(func() {
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for {
			select {
			case <-mo.stop:
				return
			case <-ticker.C:
				mo.sample(ctx)
			}
		}
	})
	return mo
}

// Stop stops the sampling and waits until the last sample is done.
func (mo *Monitor) Stop() {
	close(mo.stop)
	mo.group.Wait()
}

// sample reads the permits, the state of the engines twice, and the permits again.
// It checks only models that an engine held at both readings, against either
// reading of the permits, so that a model that moves meanwhile is no violation.
func (mo *Monitor) sample(ctx context.Context) {
	before, errBefore := mo.permitted(ctx)
	first := mo.held(ctx)
	second := mo.held(ctx)
	after, errAfter := mo.permitted(ctx)
	both := slices.DeleteFunc(first, func(h heldModel) bool { return !slices.Contains(second, h) })
	counts := make(map[knapweedpulley.ModelID]knapweedpulley.Replicas)
	for _, h := range both {
		counts[h.model]++
		if errBefore == nil && errAfter == nil {
			ok := slices.Contains(before, h) || slices.Contains(after, h)
			mo.Permits.Check(ok, "%s holds %s without a permit", h.endpoint, h.model)
		}
	}
	for _, c := range mo.fleet.Customers {
		for _, m := range c.Template.Models {
			mo.Replicas.Check(counts[m.ID] <= m.Replicas, "%d engines hold %s of %d", counts[m.ID], m.ID, m.Replicas)
		}
	}
}

func (mo *Monitor) permitted(ctx context.Context) ([]heldModel, error) {
	var l objects.ObjectList
	if err := CallStandin(ctx, http.MethodGet, mo.fleet.Platform().Objects+"/objects/permits", nil, &l); err != nil {
		return nil, err
	}
	var list []heldModel
	for _, o := range l.Objects {
		var p knapweedpulley.Permit
		if err := settings.Decode(o.Value, &p); err != nil {
			return nil, errors.Wrap(err, o.Name)
		}
		for _, e := range slices.Concat(p.Endpoints, p.Releasing) {
			list = append(list, heldModel{endpoint: e, model: p.Model})
		}
	}
	return list, nil
}

// held returns the models that the engines hold, and checks the memory in use.
func (mo *Monitor) held(ctx context.Context) []heldModel {
	var list []heldModel
	for _, e := range mo.fleet.Endpoints {
		var s engine.State
		if e.Plain || CallStandin(ctx, http.MethodGet, e.Back+"/state", nil, &s) != nil {
			continue
		}
		var used knapweedpulley.Bytes
		for _, m := range s.Models {
			list = append(list, heldModel{endpoint: e.ID, model: m.Model})
			used += m.Size
			for _, a := range m.Adapters {
				used += a.Size
			}
		}
		mo.Memory.Check(used <= s.Memory, "%s uses %d of %d bytes", e.ID, used, s.Memory)
	}
	return list
}

// Received is what the back ends have received: the runs of each marker, and whether
// a customer's key was among it.
type Received struct {
	Runs map[string]int
	Keys CheckResult
}

// ReadReceived reads what the back ends of the fleet have received. It skips those
// that do not answer.
func ReadReceived(ctx context.Context, f *fleet.Fleet) Received {
	return ReadReceivedAt(ctx, f, f.Endpoints)
}

// ReadReceivedAt reads what the given back ends have received. It skips those that do
// not answer.
func ReadReceivedAt(ctx context.Context, f *fleet.Fleet, endpoints []fleet.Endpoint) Received {
	s := Received{Runs: make(map[string]int)}
	for _, e := range endpoints {
		var seen record.Seen
		if CallStandin(ctx, http.MethodGet, e.Back+"/seen?brief", nil, &seen) != nil {
			continue
		}
		for _, m := range seen.ByMarker {
			s.Runs[m.ID] += m.Runs
		}
		for _, c := range f.Customers {
			var found record.Found
			err := CallStandin(ctx, http.MethodGet, e.Back+"/seen?contains="+c.Key, nil, &found)
			s.Keys.Check(err == nil && !found.Found, "%s has seen the key of %s (%v)", e.ID, c.ID, err)
		}
	}
	return s
}

// CheckLogs checks that the logs of the fleet contain no customer's key.
func CheckLogs(f *fleet.Fleet) CheckResult {
	var result CheckResult
	files, err := filepath.Glob(filepath.Join(f.Folder(), "*.log"))
	result.Check(err == nil && len(files) > 0, "no logs: %v", err)
	for _, file := range files {
		data, err := os.ReadFile(file) //nolint:gosec // The fleet names its logs.
		for _, c := range f.Customers {
			ok := err == nil && !strings.Contains(string(data), c.Key)
			result.Check(ok, "%s shows the key of %s (%v)", filepath.Base(file), c.ID, err)
		}
	}
	return result
}

// CountEngineStarts returns the number of starts of all engines together. It returns
// an error if an engine does not answer.
func CountEngineStarts(ctx context.Context, f *fleet.Fleet) (uint64, error) {
	var sum uint64
	for _, e := range f.Endpoints {
		if e.Plain {
			continue
		}
		var s engine.State
		if err := CallStandin(ctx, http.MethodGet, e.Back+"/state", nil, &s); err != nil {
			return 0, err
		}
		sum += s.Starts
	}
	return sum, nil
}
