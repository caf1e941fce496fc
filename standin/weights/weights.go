// Package weights stands in for the platform's rate-limited weight store. It
// takes the time of a transfer but sends no weights.
//
// # Usage
//
//	store := weights.NewStore(weights.DefaultPace())
//	err := store.Load(ctx, 2*knapweedpulley.GiB)
//	server := httptest.NewServer(weights.NewHandler(store, fault.NewInjector()))
package weights

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/web"
)

const (
	defaultLoadsPerSecond   = 4.5
	defaultParallel         = 4
	defaultBandwidth        = 4 * knapweedpulley.GiB
	defaultAdapterTime      = 10 * time.Millisecond
	defaultParallelAdapters = 30

	pathPace   = "/pace"
	pathCounts = "/counts"
)

// Pace says how fast the weight store is.
type Pace struct {
	// LoadsPerSecond bounds the loads that are admitted.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	// Parallel is the number of loads that go at full speed at once.
	Parallel int `json:"parallel"`
	// Bandwidth is the full speed of one load, in bytes a second.
	Bandwidth knapweedpulley.Bytes `json:"bandwidth"`
	// AdapterTime is the time for an adapter at full speed.
	AdapterTime settings.Duration `json:"adapterTime"`
	// ParallelAdapters is the number of adapters that go at full speed at once.
	ParallelAdapters int `json:"parallelAdapters"`
}

// DefaultPace returns the pace of the platform's weight store.
func DefaultPace() Pace {
	return Pace{
		LoadsPerSecond:   defaultLoadsPerSecond,
		Parallel:         defaultParallel,
		Bandwidth:        defaultBandwidth,
		AdapterTime:      settings.Duration(defaultAdapterTime),
		ParallelAdapters: defaultParallelAdapters,
	}
}

// Check implements knapweedpulley.Checker.
func (p *Pace) Check(f knapweedpulley.FieldErrors) {
	f.Positive("loadsPerSecond", p.LoadsPerSecond)
	f.Positive("parallel", float64(p.Parallel))
	f.Positive("bandwidth", float64(p.Bandwidth))
	f.Positive("adapterTime", float64(p.AdapterTime))
	f.Positive("parallelAdapters", float64(p.ParallelAdapters))
}

// adapterSpeed is the speed at which an adapter's work of one is done.
func (p *Pace) adapterSpeed() float64 {
	return 1 / time.Duration(p.AdapterTime).Seconds()
}

// Counts is the answer of GET /counts.
type Counts struct {
	Loads    int `json:"loads"`
	Adapters int `json:"adapters"`
}

// Store is a weight store that paces transfers.
type Store struct {
	mu       sync.Mutex
	interval time.Duration
	// free is when the next load is admitted.
	free     time.Time
	counts   Counts
	loads    *share
	adapters *share
}

// NewStore returns a store with a pace.
func NewStore(p Pace) *Store {
	s := &Store{
		loads:    newShare(p.Parallel, float64(p.Bandwidth)),
		adapters: newShare(p.ParallelAdapters, p.adapterSpeed()),
	}
	s.interval = interval(p)
	return s
}

func interval(p Pace) time.Duration {
	return time.Duration(float64(time.Second) / p.LoadsPerSecond)
}

// SetPace changes the pace, also for transfers under way.
func (s *Store) SetPace(p Pace) {
	s.mu.Lock()
	s.interval = interval(p)
	s.mu.Unlock()
	s.loads.set(p.Parallel, float64(p.Bandwidth))
	s.adapters.set(p.ParallelAdapters, p.adapterSpeed())
}

// Load returns once a checkpoint of the given size has been transferred.
func (s *Store) Load(ctx context.Context, size knapweedpulley.Bytes) error {
	timer := time.NewTimer(time.Until(s.admit()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.loads.transfer(ctx, float64(size))
}

// admit returns when the next load may begin.
func (s *Store) admit() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Loads++
	start := time.Now()
	if s.free.After(start) {
		start = s.free
	}
	s.free = start.Add(s.interval)
	return start
}

// LoadAdapter returns once an adapter has been transferred.
func (s *Store) LoadAdapter(ctx context.Context) error {
	s.mu.Lock()
	s.counts.Adapters++
	s.mu.Unlock()
	return s.adapters.transfer(ctx, 1)
}

// Counts returns the transfers so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Transfer is the answer once a transfer is done.
type Transfer struct {
	Name string               `json:"name"`
	Size knapweedpulley.Bytes `json:"size"`
}

// NewHandler returns a handler for store that misbehaves as faults says.
func NewHandler(store *Store, faults *fault.Injector) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}", func(w http.ResponseWriter, r *http.Request) {
		size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
		if err != nil || size <= 0 {
			web.WriteError(w, http.StatusBadRequest, "invalidRequest", "size must be a number of bytes")
			return
		}
		finish(w, r, store.Load(r.Context(), knapweedpulley.Bytes(size)), knapweedpulley.Bytes(size))
	})
	mux.HandleFunc("GET /adapters/{name}", func(w http.ResponseWriter, r *http.Request) {
		finish(w, r, store.LoadAdapter(r.Context()), 0)
	})
	mux.HandleFunc("PUT "+pathPace, func(w http.ResponseWriter, r *http.Request) {
		p := DefaultPace()
		if !web.Read(w, r, &p) {
			return
		}
		var f settings.Faults
		if p.Check(&f); f.Err() != nil {
			web.WriteError(w, http.StatusBadRequest, "invalidRequest", f.Err().Error())
			return
		}
		store.SetPace(p)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET "+pathCounts, func(w http.ResponseWriter, _ *http.Request) {
		web.Write(w, http.StatusOK, store.Counts())
	})
	return faults.Wrap(mux, pathPace, pathCounts)
}

// finish answers once a transfer has ended.
func finish(w http.ResponseWriter, r *http.Request, err error, size knapweedpulley.Bytes) {
	if err != nil {
		web.WriteError(w, http.StatusServiceUnavailable, "canceled", err.Error())
		return
	}
	web.Write(w, http.StatusOK, Transfer{Name: r.PathValue("name"), Size: size})
}
