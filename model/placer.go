package model

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// leaseTime is how long a process may act on what it knew.
	leaseTime = 3 * time.Second
	// writeTries bounds the tries to find out what became of a write.
	writeTries = 4
	// releaseTimeout bounds an order to release a model.
	releaseTimeout = 10 * time.Second
)

// spot is a model on an endpoint.
type spot struct {
	model    knapweedpulley.ModelID
	endpoint knapweedpulley.EndpointID
}

// Placer writes permits. All writes are conditional, and what a permit says can
// be derived again, so that several placers may act at once.
type Placer struct {
	planner *Planner
	permits knapweedpulley.PermitSource
	store   knapweedpulley.ObjectStore
	links   knapweedpulley.EndpointLinks
	clock   knapweedpulley.Clock
	mu      sync.Mutex
	// confirmed holds when agents confirmed a release.
	confirmed map[spot]knapweedpulley.Instant
}

// NewPlacer returns a placer.
func NewPlacer(
	planner *Planner, permits knapweedpulley.PermitSource, store knapweedpulley.ObjectStore,
	links knapweedpulley.EndpointLinks, clock knapweedpulley.Clock,
) *Placer {
	return &Placer{
		planner: planner, permits: permits, store: store, links: links, clock: clock,
		confirmed: make(map[spot]knapweedpulley.Instant),
	}
}

// Due reports whether Reconcile has anything to do.
func (p *Placer) Due(d knapweedpulley.DesiredModel) bool {
	permit, _ := p.permits.Permit(d.Model)
	_, changed := p.plan(d, permit)
	return changed || len(permit.Releasing) > 0
}

func (p *Placer) plan(
	d knapweedpulley.DesiredModel, permit knapweedpulley.Permit,
) (knapweedpulley.Permit, bool) {
	return p.planner.Plan(d, permit, func(id knapweedpulley.EndpointID) bool {
		return p.released(spot{model: d.Model, endpoint: id})
	})
}

// Reconcile takes the next step from the current permit of a model to what was
// decided. It returns once the step is in the store.
func (p *Placer) Reconcile(ctx context.Context, d knapweedpulley.DesiredModel) error {
	permit, ok := p.permits.Permit(d.Model)
	if !ok {
		permit = knapweedpulley.Permit{Model: d.Model}
	}
	if next, changed := p.plan(d, permit); changed {
		if err := p.write(ctx, next); err != nil {
			return err
		}
		p.forget(d.Model, next)
		return nil
	}
	p.askRelease(ctx, permit)
	return nil
}

// released reports whether an agent confirmed a release so long ago that no
// entry process acts on an earlier permit any more.
func (p *Placer) released(r spot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.confirmed[r]
	return ok && p.clock.Now().Sub(at) > leaseTime
}

// forget drops the confirmations that a permit no longer waits for.
func (p *Placer) forget(model knapweedpulley.ModelID, permit knapweedpulley.Permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r := range p.confirmed {
		if r.model == model && !slices.Contains(permit.Releasing, r.endpoint) {
			delete(p.confirmed, r)
		}
	}
}

// askRelease has the agents of releasing endpoints unload the model. The order
// carries the permit's revision, after which an agent refuses orders that were
// given on an earlier permit.
func (p *Placer) askRelease(ctx context.Context, permit knapweedpulley.Permit) {
	for _, id := range permit.Releasing {
		r := spot{model: permit.Model, endpoint: id}
		link, ok := p.links.Link(id)
		if !ok || p.isConfirmed(r) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		err := link.Order(ctx, knapweedpulley.Order{
			Kind: knapweedpulley.OrderUnloadModel, Model: permit.Model,
			Permit: permit.Revision, Timeout: releaseTimeout,
		})
		cancel()
		if err == nil {
			p.confirm(r)
		}
	}
}

func (p *Placer) isConfirmed(r spot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.confirmed[r]
	return ok
}

func (p *Placer) confirm(r spot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmed[r] = p.clock.Now()
}

// write puts a permit into the store. If the answer is lost, the same write is
// tried again: either it takes effect, so that the lost one no longer can, or
// it finds what the lost one wrote.
func (p *Placer) write(ctx context.Context, permit knapweedpulley.Permit) error {
	value, err := json.Marshal(permit)
	if err != nil {
		return errors.Wrap(err, "encode permit")
	}
	for range writeTries {
		err = p.put(ctx, permit, value)
		if !errors.Is(err, knapweedpulley.ErrOutcomeUnknown) {
			break
		}
	}
	if errors.Is(err, knapweedpulley.ErrConflict) && p.isWritten(ctx, permit, value) {
		return nil
	}
	return errors.Wrapf(err, "write permit of model %s", permit.Model)
}

func (p *Placer) put(ctx context.Context, permit knapweedpulley.Permit, value []byte) error {
	if isVoid(permit) {
		_, err := p.store.Delete(ctx, knapweedpulley.KindPermits, string(permit.Model), permit.Revision)
		return err
	}
	_, err := p.store.Put(ctx, knapweedpulley.KindPermits, string(permit.Model), value, permit.Revision)
	return err
}

// isVoid reports whether a permit allows nothing any more.
func isVoid(permit knapweedpulley.Permit) bool {
	return permit.Replicas == 0 && len(permit.Endpoints)+len(permit.Releasing) == 0 && permit.Revision > 0
}

// isWritten reports whether the store holds what should be written.
func (p *Placer) isWritten(ctx context.Context, permit knapweedpulley.Permit, value []byte) bool {
	object, err := p.store.Get(ctx, knapweedpulley.KindPermits, string(permit.Model))
	if errors.Is(err, knapweedpulley.ErrObjectNotFound) {
		return isVoid(permit)
	}
	return err == nil && slices.Equal(object.Value, value)
}
