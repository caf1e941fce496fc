package model

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/dgryski/go-rendezvous"

	"github.com/knapweedpulley/knapweedpulley"
)

// Router implements knapweedpulley.ModelLoader. It forwards load requests to the entry
// process that owns the model, or to the next one if the owner doesn't answer.
type Router struct {
	membership knapweedpulley.Membership
	local      knapweedpulley.LoadMerger
	forwarder  knapweedpulley.LoadForwarder
	endpoints  knapweedpulley.Endpoints
	clock      knapweedpulley.Clock
}

// NewRouter returns a router; local merges the load requests for the models that this
// entry process owns.
func NewRouter(
	membership knapweedpulley.Membership, local knapweedpulley.LoadMerger, forwarder knapweedpulley.LoadForwarder,
	endpoints knapweedpulley.Endpoints, clock knapweedpulley.Clock,
) *Router {
	return &Router{
		membership: membership, local: local, forwarder: forwarder, endpoints: endpoints, clock: clock,
	}
}

// LoadModel implements knapweedpulley.ModelLoader.
func (r *Router) LoadModel(ctx context.Context, request knapweedpulley.LoadRequest) (knapweedpulley.EndpointID, error) {
	deadline := r.clock.Now().Add(request.Timeout)
	unresponsive := knapweedpulley.NewSet[knapweedpulley.EntryID]()
	for {
		request.Timeout = deadline.Sub(r.clock.Now())
		if request.Timeout <= 0 || ctx.Err() != nil {
			return "", knapweedpulley.NewRefusal(
				knapweedpulley.CodeDeadlineExceeded, knapweedpulley.NotRun, "model %s was not loaded before the deadline",
				request.Model)
		}
		owner := ownerOf(r.membership, string(request.Model), unresponsive)
		answer, err := r.joinLoad(ctx, owner, request)
		var refusal *knapweedpulley.Refusal
		switch {
		case errors.As(err, &refusal):
			return "", refusal
		case err != nil && r.isSelf(owner):
			return "", knapweedpulley.NewRefusal(knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun,
				"load model %s: %s", request.Model, err.Error())
		case err != nil:
			unresponsive.Add(owner.Entry)
		}
		if id, ok := answer.Endpoint.Get(); ok {
			return id, nil
		}
	}
}

// joinLoad joins the load of a model at the entry process owner.
func (r *Router) joinLoad(
	ctx context.Context, owner knapweedpulley.Member, request knapweedpulley.LoadRequest,
) (knapweedpulley.LoadResponse, error) {
	if r.isSelf(owner) {
		return r.local.Join(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, min(peerTimeout, request.Timeout+time.Millisecond))
	defer cancel()
	return r.forwarder.ForwardLoad(ctx, owner, request)
}

func (r *Router) isSelf(m knapweedpulley.Member) bool {
	return m.Entry == r.membership.Self().Entry
}

// ownerOf returns the member that is responsible for a subject while those in
// unresponsive don't answer. All entry processes choose successors in the same order.
func ownerOf(
	membership knapweedpulley.Membership, subject string, unresponsive knapweedpulley.Set[knapweedpulley.EntryID],
) knapweedpulley.Member {
	owner := membership.Owner(subject)
	if !unresponsive.Has(owner.Entry) {
		return owner
	}
	remaining := make(map[string]knapweedpulley.Member)
	var names []string
	for _, m := range membership.Members() {
		if !unresponsive.Has(m.Entry) {
			remaining[string(m.Entry)] = m
			names = append(names, string(m.Entry))
		}
	}
	if len(names) == 0 {
		return membership.Self()
	}
	return remaining[rendezvous.New(names, xxhash.Sum64String).Lookup(subject)]
}
