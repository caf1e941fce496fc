// Package weights simulates the platform's rate-limited weight store. A call takes as long
// as the transfer would, but no weights are sent. Loads of models are admitted at a limited
// rate; concurrent transfers share the bandwidth.
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

// Pace holds the rate limit and the bandwidth of the weight store.
type Pace struct {
	// LoadsPerSecond bounds the rate at which loads are admitted.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	// Parallel is the number of concurrent loads that run at full speed.
	Parallel int `json:"parallel"`
	// Bandwidth is the full speed of one load, in bytes per second.
	Bandwidth knapweedpulley.Bytes `json:"bandwidth"`
	// AdapterTime is the time to transfer an adapter at full speed.
	AdapterTime settings.Duration `json:"adapterTime"`
	// ParallelAdapters is the number of concurrent transfers of adapters that run at full
	// speed.
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

// adapterSpeed returns the full speed of a transfer, in adapters per second.
func (p *Pace) adapterSpeed() float64 {
	return 1 / time.Duration(p.AdapterTime).Seconds()
}

// Counts is the response body of GET /counts.
type Counts struct {
	Loads    int `json:"loads"`
	Adapters int `json:"adapters"`
}

// Store is a weight store that simulates the duration of transfers.
type Store struct {
	mu                sync.Mutex
	admissionInterval time.Duration
	// nextAdmission is the earliest time at which the next load is admitted.
	nextAdmission time.Time
	counts        Counts
	loads         *sharedCapacity
	adapters      *sharedCapacity
}

// NewStore returns a store with the given pace.
func NewStore(p Pace) *Store {
	s := &Store{
		loads:    newSharedCapacity(p.Parallel, float64(p.Bandwidth)),
		adapters: newSharedCapacity(p.ParallelAdapters, p.adapterSpeed()),
	}
	s.admissionInterval = admissionInterval(p)
	return s
}

func admissionInterval(p Pace) time.Duration {
	return time.Duration(float64(time.Second) / p.LoadsPerSecond)
}

// SetPace changes the pace, also for transfers in progress.
func (s *Store) SetPace(p Pace) {
	s.mu.Lock()
	s.admissionInterval = admissionInterval(p)
	s.mu.Unlock()
	s.loads.setCapacity(p.Parallel, float64(p.Bandwidth))
	s.adapters.setCapacity(p.ParallelAdapters, p.adapterSpeed())
}

// Load blocks until a checkpoint of the given size has been transferred. It returns the
// error of ctx if ctx ends first.
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

// admit counts a load and returns the time at which it may begin.
func (s *Store) admit() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Loads++
	start := time.Now()
	if s.nextAdmission.After(start) {
		start = s.nextAdmission
	}
	s.nextAdmission = start.Add(s.admissionInterval)
	return start
}

// LoadAdapter blocks until an adapter has been transferred. It returns the error of ctx if
// ctx ends first.
func (s *Store) LoadAdapter(ctx context.Context) error {
	s.mu.Lock()
	s.counts.Adapters++
	s.mu.Unlock()
	return s.adapters.transfer(ctx, 1)
}

// Counts returns the number of transfers requested so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Transfer is the response body of a completed transfer.
type Transfer struct {
	Name string               `json:"name"`
	Size knapweedpulley.Bytes `json:"size"`
}

// NewHandler returns the HTTP API of store, subject to the fault that is set in faults.
func NewHandler(store *Store, faults *fault.Injector) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}", func(w http.ResponseWriter, r *http.Request) {
		size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
		if err != nil || size <= 0 {
			web.WriteError(w, http.StatusBadRequest, "invalidRequest", "size must be a number of bytes")
			return
		}
		writeTransfer(w, r, store.Load(r.Context(), knapweedpulley.Bytes(size)), knapweedpulley.Bytes(size))
	})
	mux.HandleFunc("GET /adapters/{name}", func(w http.ResponseWriter, r *http.Request) {
		writeTransfer(w, r, store.LoadAdapter(r.Context()), 0)
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

// writeTransfer writes the response for a transfer that ended with err.
func writeTransfer(w http.ResponseWriter, r *http.Request, err error, size knapweedpulley.Bytes) {
	if err != nil {
		web.WriteError(w, http.StatusServiceUnavailable, "canceled", err.Error())
		return
	}
	web.Write(w, http.StatusOK, Transfer{Name: r.PathValue("name"), Size: size})
}
