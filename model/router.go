package model

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/dgryski/go-rendezvous"

	"github.com/knapweedpulley/knapweedpulley"
)

// Router implements knapweedpulley.Waker: it has the owner of a model load it,
// and goes to the next entry process if the owner gives no answer.
type Router struct {
	membership knapweedpulley.Membership
	local      knapweedpulley.LoadMerger
	forwarder  knapweedpulley.LoadForwarder
	endpoints  knapweedpulley.Endpoints
	clock      knapweedpulley.Clock
}

// NewRouter returns a router; local merges the wake requests that this entry
// process owns.
func NewRouter(
	membership knapweedpulley.Membership, local knapweedpulley.LoadMerger, forwarder knapweedpulley.LoadForwarder,
	endpoints knapweedpulley.Endpoints, clock knapweedpulley.Clock,
) *Router {
	return &Router{
		membership: membership, local: local, forwarder: forwarder, endpoints: endpoints, clock: clock,
	}
}

// LoadModel implements knapweedpulley.Waker.
func (r *Router) LoadModel(ctx context.Context, w knapweedpulley.LoadRequest) (knapweedpulley.EndpointID, error) {
	deadline := r.clock.Now().Add(w.Timeout)
	lost := knapweedpulley.NewSet[knapweedpulley.EntryID]()
	for {
		w.Timeout = deadline.Sub(r.clock.Now())
		if w.Timeout <= 0 || ctx.Err() != nil {
			return "", knapweedpulley.NewRefusal(
				knapweedpulley.CodeDeadlineExceeded, knapweedpulley.NotRun, "model %s was not loaded in time", w.Model)
		}
		owner := ownerOf(r.membership, string(w.Model), lost)
		answer, err := r.ask(ctx, owner, w)
		var refusal *knapweedpulley.Refusal
		switch {
		case errors.As(err, &refusal):
			return "", refusal
		case err != nil && r.isSelf(owner):
			return "", knapweedpulley.NewRefusal(knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun,
				"load model %s: %s", w.Model, err.Error())
		case err != nil:
			lost.Add(owner.Entry)
		}
		if id, ok := answer.Endpoint.Get(); ok {
			return id, nil
		}
	}
}

// ask joins the load at one entry process.
func (r *Router) ask(
	ctx context.Context, owner knapweedpulley.Member, w knapweedpulley.LoadRequest,
) (knapweedpulley.LoadResponse, error) {
	if r.isSelf(owner) {
		return r.local.Join(ctx, w)
	}
	ctx, cancel := context.WithTimeout(ctx, min(roundTimeout, w.Timeout+time.Millisecond))
	defer cancel()
	return r.forwarder.ForwardLoad(ctx, owner, w)
}

func (r *Router) isSelf(m knapweedpulley.Member) bool {
	return m.Entry == r.membership.Self().Entry
}

// ownerOf returns the member that is responsible for a subject while those in
// lost give no answer. All entry processes go through the same order.
func ownerOf(
	membership knapweedpulley.Membership, subject string, lost knapweedpulley.Set[knapweedpulley.EntryID],
) knapweedpulley.Member {
	owner := membership.Owner(subject)
	if !lost.Has(owner.Entry) {
		return owner
	}
	left := make(map[string]knapweedpulley.Member)
	var names []string
	for _, m := range membership.Members() {
		if !lost.Has(m.Entry) {
			left[string(m.Entry)] = m
			names = append(names, string(m.Entry))
		}
	}
	if len(names) == 0 {
		return membership.Self()
	}
	return left[rendezvous.New(names, xxhash.Sum64String).Lookup(subject)]
}
