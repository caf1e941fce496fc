package model

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// stagePause is the time after which a checkpoint may be staged again on the
	// same machine. It doubles each time, since a machine whose caches are too
	// small loses the checkpoint again.
	stagePause = 10 * time.Minute
	// maxStageDoublings bounds the doublings of the pause.
	maxStageDoublings = 8
	// prefetchReserve is the part of an engine's memory that staging leaves free.
	prefetchReserve = 4
	// stageTimeout bounds the staging of a checkpoint.
	stageTimeout = 2 * time.Minute
	// stageCopies is the number of machines that should have a checkpoint
	// cached.
	stageCopies = 1
)

// staging is what was tried to stage a model on an endpoint.
type staging struct {
	count int
	next  knapweedpulley.Instant
}

// Prefetcher brings checkpoints that too few machines of their permit have
// cached out of the weight store before the first request: it loads the model
// while nobody waits for the weight store, where memory is free, and unloads it
// again, so that the checkpoint stays in the machine's caches.
type Prefetcher struct {
	loader *Loader
	mu     sync.Mutex
	tried  map[spot]staging
}

// NewPrefetcher returns a prefetcher that loads by loader.
func NewPrefetcher(loader *Loader) *Prefetcher {
	return &Prefetcher{loader: loader, tried: make(map[spot]staging)}
}

// Due reports whether the checkpoint of a model should be staged.
func (s *Prefetcher) Due(model knapweedpulley.ModelID) bool {
	_, found := s.place(model)
	return found
}

// Step stages the checkpoint of a model if that is due.
func (s *Prefetcher) Step(ctx context.Context, model knapweedpulley.ModelID) error {
	id, found := s.place(model)
	if !found {
		return nil
	}
	s.note(spot{model: model, endpoint: id})
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	w := knapweedpulley.LoadRequest{Model: model, Timeout: stageTimeout}
	c, ok := s.loader.sources.Checkpoints.Checkpoint(model, knapweedpulley.None[knapweedpulley.AdapterID]())
	if !ok {
		return nil
	}
	o := knapweedpulley.LoadOption{Endpoint: id, Tier: knapweedpulley.TierRemote}
	if err := s.loader.order(ctx, w, c, o, true); err != nil {
		return errors.Wrap(err, "stage checkpoint")
	}
	// An agent refuses this order if a request has come meanwhile.
	_ = s.loader.send(ctx, id, knapweedpulley.Order{Kind: knapweedpulley.OrderUnloadModel, Model: model}, stageTimeout)
	return nil
}

// place returns where the checkpoint of a model would be staged, and false if
// it is within reach already or there is no room.
func (s *Prefetcher) place(model knapweedpulley.ModelID) (knapweedpulley.EndpointID, bool) {
	permit, ok := s.loader.sources.Permits.Permit(model)
	c, known := s.loader.sources.Checkpoints.Checkpoint(model, knapweedpulley.None[knapweedpulley.AdapterID]())
	if !ok || !known {
		return "", false
	}
	var best knapweedpulley.EndpointID
	fewest := 0
	copies := 0
	for _, id := range permit.Endpoints {
		status, up := s.loader.sources.Endpoints.Status(id)
		if !up || status.Draining {
			continue
		}
		if _, there := stateOf(&status, model); there || tierOf(&status, model) != knapweedpulley.TierRemote {
			copies++
			continue
		}
		room := status.FreeMemory - status.Engine.Memory/prefetchReserve
		cached := len(status.Engine.Cached)
		if room >= c.Size && (best == "" || cached < fewest) && s.mayStage(spot{model: model, endpoint: id}) {
			best, fewest = id, cached
		}
	}
	return best, best != "" && copies < stageCopies
}

// note counts a try.
func (s *Prefetcher) note(p spot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tried[p]
	wait := stagePause << min(t.count, maxStageDoublings)
	s.tried[p] = staging{count: t.count + 1, next: s.loader.sources.Clock.Now().Add(wait)}
}

// mayStage reports whether the pause since the last try is over.
func (s *Prefetcher) mayStage(p spot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tried[p]
	return !ok || s.loader.sources.Clock.Now().After(t.next)
}
