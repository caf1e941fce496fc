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
	// leaseTime is how long an entry process may act on the permits that it last knew.
	leaseTime = 3 * time.Second
	// maxWriteAttempts bounds the attempts at a write whose outcome is unknown.
	maxWriteAttempts = 4
	// releaseTimeout bounds an order to unload a model from a releasing endpoint.
	releaseTimeout = 10 * time.Second
)

// replicaKey identifies a model on an endpoint.
type replicaKey struct {
	model    knapweedpulley.ModelID
	endpoint knapweedpulley.EndpointID
}

// Placer writes the permits of models to the store. All writes are conditional on the
// revision, and the contents of a permit can be derived again, so that several placers
// may run concurrently.
type Placer struct {
	planner *Planner
	permits knapweedpulley.PermitSource
	store   knapweedpulley.ObjectStore
	links   knapweedpulley.EndpointLinks
	clock   knapweedpulley.Clock
	mu      sync.Mutex
	// confirmed holds the times at which agents confirmed a release.
	confirmed map[replicaKey]knapweedpulley.Instant
}

// NewPlacer returns a placer that writes what planner decides.
func NewPlacer(
	planner *Planner, permits knapweedpulley.PermitSource, store knapweedpulley.ObjectStore,
	links knapweedpulley.EndpointLinks, clock knapweedpulley.Clock,
) *Placer {
	return &Placer{
		planner: planner, permits: permits, store: store, links: links, clock: clock,
		confirmed: make(map[replicaKey]knapweedpulley.Instant),
	}
}

// Due reports whether Reconcile has a step to take.
func (p *Placer) Due(d knapweedpulley.DesiredModel) bool {
	permit, _ := p.permits.Permit(d.Model)
	_, changed := p.plan(d, permit)
	return changed || len(permit.Releasing) > 0
}

func (p *Placer) plan(
	d knapweedpulley.DesiredModel, permit knapweedpulley.Permit,
) (knapweedpulley.Permit, bool) {
	return p.planner.Plan(d, permit, func(id knapweedpulley.EndpointID) bool {
		return p.released(replicaKey{model: d.Model, endpoint: id})
	})
}

// Reconcile takes the next step from the current permit of a model towards the desired
// state: it writes a changed permit to the store, or requests the outstanding releases.
// The error says why the write failed.
func (p *Placer) Reconcile(ctx context.Context, d knapweedpulley.DesiredModel) error {
	permit, ok := p.permits.Permit(d.Model)
	if !ok {
		permit = knapweedpulley.Permit{Model: d.Model}
	}
	if next, changed := p.plan(d, permit); changed {
		if err := p.write(ctx, next); err != nil {
			return err
		}
		p.discardConfirmations(d.Model, next)
		return nil
	}
	p.requestRelease(ctx, permit)
	return nil
}

// released reports whether an agent confirmed a release more than leaseTime ago, so that
// no entry process acts on an earlier permit any more.
func (p *Placer) released(r replicaKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.confirmed[r]
	return ok && p.clock.Now().Sub(at) > leaseTime
}

// discardConfirmations discards the confirmations of endpoints that the permit no longer
// lists as releasing.
func (p *Placer) discardConfirmations(model knapweedpulley.ModelID, permit knapweedpulley.Permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for r := range p.confirmed {
		if r.model == model && !slices.Contains(permit.Releasing, r.endpoint) {
			delete(p.confirmed, r)
		}
	}
}

// requestRelease orders the agents of releasing endpoints to unload the model. The order
// carries the permit's revision; from then on the agent refuses orders that were sent
// under an earlier permit.
func (p *Placer) requestRelease(ctx context.Context, permit knapweedpulley.Permit) {
	for _, id := range permit.Releasing {
		r := replicaKey{model: permit.Model, endpoint: id}
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

func (p *Placer) isConfirmed(r replicaKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.confirmed[r]
	return ok
}

func (p *Placer) confirm(r replicaKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmed[r] = p.clock.Now()
}

// write writes a permit to the store. If the outcome is unknown, it repeats the same
// conditional write: either the repeated write takes effect, so that the first no longer
// can, or it conflicts with what the first one wrote.
func (p *Placer) write(ctx context.Context, permit knapweedpulley.Permit) error {
	value, err := json.Marshal(permit)
	if err != nil {
		return errors.Wrap(err, "encode permit")
	}
	for range maxWriteAttempts {
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
	if isEmpty(permit) {
		_, err := p.store.Delete(ctx, knapweedpulley.KindPermits, string(permit.Model), permit.Revision)
		return err
	}
	_, err := p.store.Put(ctx, knapweedpulley.KindPermits, string(permit.Model), value, permit.Revision)
	return err
}

// isEmpty reports whether a stored permit desires no replicas and names no endpoints.
func isEmpty(permit knapweedpulley.Permit) bool {
	return permit.Replicas == 0 && len(permit.Endpoints)+len(permit.Releasing) == 0 && permit.Revision > 0
}

// isWritten reports whether the store already holds the permit, or holds none if the
// permit is empty.
func (p *Placer) isWritten(ctx context.Context, permit knapweedpulley.Permit, value []byte) bool {
	object, err := p.store.Get(ctx, knapweedpulley.KindPermits, string(permit.Model))
	if errors.Is(err, knapweedpulley.ErrObjectNotFound) {
		return isEmpty(permit)
	}
	return err == nil && slices.Equal(object.Value, value)
}
