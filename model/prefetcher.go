package model

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// prefetchPause is the time after which a checkpoint may be prefetched again on the
	// same machine. It doubles with each attempt, since a machine whose caches are too
	// small evicts the checkpoint again.
	prefetchPause = 10 * time.Minute
	// maxPauseDoublings bounds the doublings of the pause.
	maxPauseDoublings = 8
	// reserveDivisor is the reciprocal of the fraction of an engine's memory that a
	// prefetch leaves free.
	reserveDivisor = 4
	// prefetchTimeout bounds each of the two steps of a prefetch, the load and the
	// unload.
	prefetchTimeout = 2 * time.Minute
	// minCachedCopies is the number of permitted machines that should have a
	// checkpoint cached.
	minCachedCopies = 1
)

// prefetchAttempts records the attempts to prefetch a model on an endpoint.
type prefetchAttempts struct {
	count     int
	notBefore knapweedpulley.Instant
}

// Prefetcher copies checkpoints from the weight store into the caches of machines before
// the first request, if fewer than minCachedCopies machines of the permit have them. It
// loads the model on an endpoint with free memory while no other transfer waits, and
// unloads it again; the checkpoint stays in the machine's caches.
type Prefetcher struct {
	loader   *Loader
	mu       sync.Mutex
	attempts map[replicaKey]prefetchAttempts
}

// NewPrefetcher returns a prefetcher that loads models through loader.
func NewPrefetcher(loader *Loader) *Prefetcher {
	return &Prefetcher{loader: loader, attempts: make(map[replicaKey]prefetchAttempts)}
}

// Due reports whether the checkpoint of a model should be prefetched.
func (p *Prefetcher) Due(model knapweedpulley.ModelID) bool {
	_, found := p.chooseEndpoint(model)
	return found
}

// Step prefetches the checkpoint of a model if that is due.
func (p *Prefetcher) Step(ctx context.Context, model knapweedpulley.ModelID) error {
	id, found := p.chooseEndpoint(model)
	if !found {
		return nil
	}
	p.recordAttempt(replicaKey{model: model, endpoint: id})
	ctx, cancel := context.WithTimeout(ctx, prefetchTimeout)
	defer cancel()
	request := knapweedpulley.LoadRequest{Model: model, Timeout: prefetchTimeout}
	c, ok := p.loader.sources.Checkpoints.Checkpoint(model, knapweedpulley.None[knapweedpulley.AdapterID]())
	if !ok {
		return nil
	}
	o := knapweedpulley.LoadOption{Endpoint: id, Tier: knapweedpulley.TierRemote}
	if err := p.loader.loadOn(ctx, request, c, o, true); err != nil {
		return errors.Wrap(err, "prefetch checkpoint")
	}
	// The agent refuses this order if a request has arrived meanwhile.
	_ = p.loader.sendOrder(
		ctx, id, knapweedpulley.Order{Kind: knapweedpulley.OrderUnloadModel, Model: model}, prefetchTimeout)
	return nil
}

// chooseEndpoint returns the endpoint on which to prefetch the checkpoint of a model, and
// false if enough machines have it or no endpoint has enough free memory.
func (p *Prefetcher) chooseEndpoint(model knapweedpulley.ModelID) (knapweedpulley.EndpointID, bool) {
	permit, ok := p.loader.sources.Permits.Permit(model)
	c, known := p.loader.sources.Checkpoints.Checkpoint(model, knapweedpulley.None[knapweedpulley.AdapterID]())
	if !ok || !known {
		return "", false
	}
	var best knapweedpulley.EndpointID
	fewest := 0
	copies := 0
	for _, id := range permit.Endpoints {
		status, up := p.loader.sources.Endpoints.Status(id)
		if !up || status.Draining {
			continue
		}
		if _, there := stateOf(&status, model); there || tierOf(&status, model) != knapweedpulley.TierRemote {
			copies++
			continue
		}
		room := status.FreeMemory - status.Engine.Memory/reserveDivisor
		cached := len(status.Engine.Cached)
		if room >= c.Size && (best == "" || cached < fewest) && p.mayPrefetch(replicaKey{model: model, endpoint: id}) {
			best, fewest = id, cached
		}
	}
	return best, best != "" && copies < minCachedCopies
}

// recordAttempt counts an attempt and sets the time of the next one.
func (p *Prefetcher) recordAttempt(key replicaKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.attempts[key]
	wait := prefetchPause << min(t.count, maxPauseDoublings)
	p.attempts[key] = prefetchAttempts{count: t.count + 1, notBefore: p.loader.sources.Clock.Now().Add(wait)}
}

// mayPrefetch reports whether the pause after the last attempt is over.
func (p *Prefetcher) mayPrefetch(key replicaKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.attempts[key]
	return !ok || p.loader.sources.Clock.Now().After(t.notBefore)
}
