package model

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// patienceFactor is how many times the expected duration a load may take
	// before it is checked whether it goes on.
	patienceFactor = 3
	// patienceFloor is the least time before a load is checked.
	patienceFloor = 2 * time.Second
	// permitPatience bounds the wait for a permit of a model.
	permitPatience = 10 * time.Second
	// permitPause is the time between two looks for a permit.
	permitPause = 100 * time.Millisecond
	// roundPause is the time after which the endpoints are tried again if the
	// model could be loaded on none.
	roundPause = 500 * time.Millisecond
	// refusalMargin is by how much the expected duration of a load must exceed
	// the time left before those who wait are refused.
	refusalMargin = 1.5
)

// Sources is what decisions about models are based on.
type Sources struct {
	Endpoints   knapweedpulley.Endpoints
	Links       knapweedpulley.EndpointLinks
	Permits     knapweedpulley.PermitSource
	Checkpoints knapweedpulley.CheckpointSource
	Clock       knapweedpulley.Clock
	// Entry is the entry process that decides.
	Entry knapweedpulley.EntryID
}

// Loader has models and adapters loaded by orders to the agents. It loads only
// what a permit names, so that several loaders together never load more
// replicas than were decided.
type Loader struct {
	sources   Sources
	policy    knapweedpulley.LoadPolicy
	estimator *Estimator
	limiter   knapweedpulley.TransferLimiter
}

// NewLoader returns a loader.
func NewLoader(
	sources Sources, policy knapweedpulley.LoadPolicy, estimator *Estimator, limiter knapweedpulley.TransferLimiter,
) *Loader {
	return &Loader{sources: sources, policy: policy, estimator: estimator, limiter: limiter}
}

// Load returns an endpoint that holds the model, and the adapter if one is
// named, once it is loaded.
func (l *Loader) Load(ctx context.Context, w knapweedpulley.LoadRequest) (knapweedpulley.EndpointID, error) {
	for {
		endpoint, err := l.try(ctx, w)
		if err == nil || ctx.Err() != nil || !mayPass(err) {
			return endpoint, err
		}
		_ = machine.Pause(ctx, roundPause)
	}
}

// try goes through the endpoints once.
func (l *Loader) try(ctx context.Context, w knapweedpulley.LoadRequest) (knapweedpulley.EndpointID, error) {
	endpoint, err := l.loadModel(ctx, w)
	if err != nil {
		return "", err
	}
	adapter, named := w.Adapter.Get()
	if !named {
		return endpoint, nil
	}
	return l.loadAdapter(ctx, w, adapter, endpoint)
}

// mayPass reports whether the cause of a failed load may pass: endpoints come
// back, memory is freed and permits move.
func mayPass(err error) bool {
	var r *knapweedpulley.Refusal
	if !errors.As(err, &r) {
		return true
	}
	switch r.Code {
	case knapweedpulley.CodeModelNotFound, knapweedpulley.CodeOverloaded, knapweedpulley.CodeDeadlineExceeded:
		return false
	default:
		return true
	}
}

// Estimate returns how long Load takes at best, without waiting for others.
func (l *Loader) Estimate(w knapweedpulley.LoadRequest) time.Duration {
	if len(l.holders(w.Model, knapweedpulley.None[knapweedpulley.AdapterID]())) > 0 {
		return adapterDuration
	}
	checkpoint, options, err := l.options(w)
	if err != nil || len(options) == 0 {
		return 0
	}
	return l.estimator.Estimate(options[0].Tier, checkpoint.Size)
}

// Replicate loads the model on one more of the endpoints that its permit names,
// if one has the memory for it.
func (l *Loader) Replicate(ctx context.Context, w knapweedpulley.LoadRequest) error {
	checkpoint, options, err := l.options(w)
	if err != nil {
		return err
	}
	for _, o := range options {
		s, ok := l.sources.Endpoints.Status(o.Endpoint)
		if _, there := stateOf(&s, w.Model); !ok || there || s.FreeMemory < checkpoint.Size {
			continue
		}
		return l.order(ctx, w, checkpoint, o, false)
	}
	return nil
}

// holders returns the endpoints that hold a model and take requests.
func (l *Loader) holders(
	model knapweedpulley.ModelID, adapter knapweedpulley.Option[knapweedpulley.AdapterID],
) []knapweedpulley.EndpointStatus {
	return l.sources.Endpoints.Holders(nil, model, adapter)
}

// options ranks the endpoints that the permit names.
func (l *Loader) options(
	w knapweedpulley.LoadRequest,
) (knapweedpulley.Checkpoint, []knapweedpulley.LoadOption, error) {
	checkpoint, ok := l.sources.Checkpoints.Checkpoint(w.Model, knapweedpulley.None[knapweedpulley.AdapterID]())
	if !ok {
		return checkpoint, nil, knapweedpulley.NewRefusal(
			knapweedpulley.CodeModelNotFound, knapweedpulley.NotRun, "model %s has no checkpoint", w.Model)
	}
	permit, ok := l.sources.Permits.Permit(w.Model)
	if !ok {
		return checkpoint, nil, knapweedpulley.NewRefusal(
			knapweedpulley.CodeNotPermitted, knapweedpulley.NotRun, "model %s has no permit", w.Model)
	}
	var list []knapweedpulley.EndpointStatus
	for _, id := range permit.Endpoints {
		if s, ok := l.sources.Endpoints.Status(id); ok {
			list = append(list, s)
		}
	}
	return checkpoint, l.policy.Rank(w, checkpoint, list), nil
}

// permitted waits until a permit names an endpoint that is up: the permits of a
// new template follow it after a short time.
func (l *Loader) permitted(
	ctx context.Context, w knapweedpulley.LoadRequest,
) (knapweedpulley.Checkpoint, []knapweedpulley.LoadOption, error) {
	// A part of the time is left to tell those who wait.
	ctx, cancel := context.WithTimeout(ctx, min(permitPatience, w.Timeout*3/4))
	defer cancel()
	for {
		checkpoint, options, err := l.options(w)
		missing := err != nil && knapweedpulley.RefusalOf(err, "").Code == knapweedpulley.CodeNotPermitted
		if !missing && (err != nil || len(options) > 0) {
			return checkpoint, options, err
		}
		timer := time.NewTimer(permitPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return checkpoint, options, err
		}
	}
}

func (l *Loader) loadModel(ctx context.Context, w knapweedpulley.LoadRequest) (knapweedpulley.EndpointID, error) {
	if id, ok := l.lightest(l.holders(w.Model, w.Adapter)); ok {
		return id, nil
	}
	if id, ok := l.lightest(l.holders(w.Model, knapweedpulley.None[knapweedpulley.AdapterID]())); ok {
		return id, nil
	}
	checkpoint, options, err := l.permitted(ctx, w)
	if err != nil {
		return "", err
	}
	last := error(knapweedpulley.NewRefusal(
		knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun, "no endpoint that may hold model %s is up", w.Model))
	for _, o := range options {
		if last = l.order(ctx, w, checkpoint, o, false); last == nil {
			return o.Endpoint, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return "", last
}

// lightest returns the endpoint with the fewest requests.
func (l *Loader) lightest(list []knapweedpulley.EndpointStatus) (knapweedpulley.EndpointID, bool) {
	var best knapweedpulley.EndpointID
	least := 0
	for i, s := range list {
		if load := l.sources.Endpoints.Load(s.Endpoint); i == 0 || load < least {
			best, least = s.Endpoint, load
		}
	}
	return best, len(list) > 0
}

// order loads a model on one endpoint, after asking for the transfer if the
// checkpoint comes from the weight store. Nobody waits for a load in the
// background.
func (l *Loader) order(
	ctx context.Context, w knapweedpulley.LoadRequest, c knapweedpulley.Checkpoint, o knapweedpulley.LoadOption,
	background bool,
) error {
	expected := l.estimator.Estimate(o.Tier, c.Size)
	s, _ := l.sources.Endpoints.Status(o.Endpoint)
	if _, there := stateOf(&s, w.Model); !there && o.Tier == knapweedpulley.TierRemote {
		t := l.ticket(ctx, w, knapweedpulley.TransferModel, expected)
		t.Background = background
		if err := l.await(ctx, t); err != nil {
			return err
		}
		defer l.giveBack(ctx, t)
	}
	start := l.sources.Clock.Now()
	err := l.send(ctx, o.Endpoint, knapweedpulley.Order{
		Kind: knapweedpulley.OrderLoadModel, Model: w.Model, Size: c.Size,
	}, max(patienceFactor*expected, patienceFloor))
	if err == nil {
		l.estimator.Observe(o.Tier, c.Size, l.sources.Clock.Now().Sub(start))
	}
	return err
}

// loadAdapter loads an adapter next to a model that is loaded.
func (l *Loader) loadAdapter(
	ctx context.Context, w knapweedpulley.LoadRequest, adapter knapweedpulley.AdapterID, home knapweedpulley.EndpointID,
) (knapweedpulley.EndpointID, error) {
	if id, ok := l.lightest(l.holders(w.Model, w.Adapter)); ok {
		return id, nil
	}
	c, ok := l.sources.Checkpoints.Checkpoint(w.Model, w.Adapter)
	if !ok {
		return "", knapweedpulley.NewRefusal(
			knapweedpulley.CodeModelNotFound, knapweedpulley.NotRun, "adapter %s has no checkpoint", adapter)
	}
	t := l.ticket(ctx, w, knapweedpulley.TransferAdapter, adapterDuration)
	t.Adapter = adapter
	if err := l.await(ctx, t); err != nil {
		return "", err
	}
	defer l.giveBack(ctx, t)
	return home, l.send(ctx, home, knapweedpulley.Order{
		Kind: knapweedpulley.OrderLoadAdapter, Model: w.Model, Adapter: adapter, Size: c.Size,
	}, patienceFloor)
}

// send gives an order to an agent. If it takes longer than patience and the
// agent doesn't report that it goes on, the order is given up.
func (l *Loader) send(
	ctx context.Context, id knapweedpulley.EndpointID, o knapweedpulley.Order, patience time.Duration,
) error {
	link, ok := l.sources.Links.Link(id)
	if !ok {
		return knapweedpulley.NewRefusal(
			knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun, "no link to endpoint %s", id)
	}
	permit, _ := l.sources.Permits.Permit(o.Model)
	o.Permit = permit.Revision
	o.Timeout = timeLeft(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := time.AfterFunc(patience, func() { l.checkProgress(ctx, cancel, id, o, patience) })
	defer watch.Stop()
	err := link.Order(ctx, o)
	if err != nil && errors.Is(context.Cause(ctx), errNoProgress) {
		return errors.Wrapf(errNoProgress, "endpoint %s", id)
	}
	return err
}

var errNoProgress = errors.New("the load makes no progress")

// checkProgress gives an order up if the agent doesn't report that it goes on,
// and else checks again later.
func (l *Loader) checkProgress(
	ctx context.Context, cancel context.CancelCauseFunc, id knapweedpulley.EndpointID, o knapweedpulley.Order,
	patience time.Duration,
) {
	for ctx.Err() == nil {
		s, ok := l.sources.Endpoints.Status(id)
		if state, there := stateOf(&s, o.Model); !ok || !there || state == knapweedpulley.StateUnloading {
			cancel(errNoProgress)
			return
		}
		_ = machine.Pause(ctx, patience)
	}
}

func (l *Loader) ticket(
	ctx context.Context, w knapweedpulley.LoadRequest, kind knapweedpulley.TransferKind, expected time.Duration,
) knapweedpulley.TransferRequest {
	return knapweedpulley.TransferRequest{
		Kind: kind, Entry: l.sources.Entry, Model: w.Model, Customer: w.Customer,
		Timeout: timeLeft(ctx), Duration: expected,
	}
}

// await asks for a transfer until it is granted.
func (l *Loader) await(ctx context.Context, t knapweedpulley.TransferRequest) error {
	for {
		t.Timeout = timeLeft(ctx)
		granted, err := l.limiter.Acquire(ctx, t)
		if err != nil {
			return err
		}
		if granted {
			return nil
		}
		if ctx.Err() != nil {
			l.giveBack(ctx, t)
			return knapweedpulley.NewRefusal(knapweedpulley.CodeDeadlineExceeded, knapweedpulley.NotRun,
				"no transfer of model %s in time", t.Model).WithRetryAfter(t.Duration)
		}
	}
}

// giveBack ends a transfer, also after ctx has ended.
func (l *Loader) giveBack(ctx context.Context, t knapweedpulley.TransferRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), round)
	defer cancel()
	// A transfer that isn't given back lapses at the entry process that limits transfers.
	_ = l.limiter.Done(ctx, t)
}
