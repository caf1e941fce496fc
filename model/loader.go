package model

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// progressCheckFactor is the multiple of a load's expected duration after which
	// its progress is checked.
	progressCheckFactor = 3
	// minProgressCheckDelay is the minimum time before the progress of a load is checked.
	minProgressCheckDelay = 2 * time.Second
	// permitTimeout bounds the wait for the permit of a model.
	permitTimeout = 10 * time.Second
	// permitPollInterval is the time between two look-ups of a permit.
	permitPollInterval = 100 * time.Millisecond
	// loadRetryPause is the time after which all endpoints are tried again if the
	// model could be loaded on none of them.
	loadRetryPause = 500 * time.Millisecond
	// refusalMargin is the factor by which the expected duration of a load must
	// exceed the time left before the waiting requests are refused.
	refusalMargin = 1.5
)

// Sources provides the state on which decisions about models are based.
type Sources struct {
	Endpoints   knapweedpulley.Endpoints
	Links       knapweedpulley.EndpointLinks
	Permits     knapweedpulley.PermitSource
	Checkpoints knapweedpulley.CheckpointSource
	Clock       knapweedpulley.Clock
	// Entry is the entry process that makes the decisions.
	Entry knapweedpulley.EntryID
}

// Loader loads models and adapters by sending orders to the agents. It loads a model
// only on endpoints that its permit names, so that several loaders together never
// load more replicas than desired.
type Loader struct {
	sources   Sources
	policy    knapweedpulley.LoadPolicy
	estimator *Estimator
	limiter   knapweedpulley.TransferLimiter
}

// NewLoader returns a loader that ranks endpoints by policy and requests transfers
// from limiter.
func NewLoader(
	sources Sources, policy knapweedpulley.LoadPolicy, estimator *Estimator, limiter knapweedpulley.TransferLimiter,
) *Loader {
	return &Loader{sources: sources, policy: policy, estimator: estimator, limiter: limiter}
}

// Load loads the model, and the adapter if one is named, and returns the endpoint
// that holds it. It retries until ctx ends or an error is permanent.
func (l *Loader) Load(ctx context.Context, request knapweedpulley.LoadRequest) (knapweedpulley.EndpointID, error) {
	for {
		endpoint, err := l.tryLoad(ctx, request)
		if err == nil || ctx.Err() != nil || !isTransient(err) {
			return endpoint, err
		}
		_ = machine.Pause(ctx, loadRetryPause)
	}
}

// tryLoad tries each permitted endpoint once.
func (l *Loader) tryLoad(ctx context.Context, request knapweedpulley.LoadRequest) (knapweedpulley.EndpointID, error) {
	endpoint, err := l.loadModel(ctx, request)
	if err != nil {
		return "", err
	}
	adapter, named := request.Adapter.Get()
	if !named {
		return endpoint, nil
	}
	return l.loadAdapter(ctx, request, adapter, endpoint)
}

// isTransient reports whether a load may succeed later: endpoints recover, memory is
// freed and permits change.
func isTransient(err error) bool {
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

// Estimate returns the expected duration of Load if it doesn't wait for other
// transfers, or zero if it is unknown.
func (l *Loader) Estimate(request knapweedpulley.LoadRequest) time.Duration {
	if len(l.holders(request.Model, knapweedpulley.None[knapweedpulley.AdapterID]())) > 0 {
		return adapterLoadTime
	}
	checkpoint, options, err := l.options(request)
	if err != nil || len(options) == 0 {
		return 0
	}
	return l.estimator.Estimate(options[0].Tier, checkpoint.Size)
}

// Replicate loads the model on a further endpoint that its permit names, if one has
// enough free memory. It returns nil if there is no such endpoint.
func (l *Loader) Replicate(ctx context.Context, request knapweedpulley.LoadRequest) error {
	checkpoint, options, err := l.options(request)
	if err != nil {
		return err
	}
	for _, o := range options {
		s, ok := l.sources.Endpoints.Status(o.Endpoint)
		if _, there := stateOf(&s, request.Model); !ok || there || s.FreeMemory < checkpoint.Size {
			continue
		}
		return l.loadOn(ctx, request, checkpoint, o, false)
	}
	return nil
}

// holders returns the endpoints that hold a model, and an adapter if one is named, and
// accept requests.
func (l *Loader) holders(
	model knapweedpulley.ModelID, adapter knapweedpulley.Option[knapweedpulley.AdapterID],
) []knapweedpulley.EndpointStatus {
	return l.sources.Endpoints.Holders(nil, model, adapter)
}

// options ranks the endpoints that the permit names and that are up.
func (l *Loader) options(
	request knapweedpulley.LoadRequest,
) (knapweedpulley.Checkpoint, []knapweedpulley.LoadOption, error) {
	checkpoint, ok := l.sources.Checkpoints.Checkpoint(request.Model, knapweedpulley.None[knapweedpulley.AdapterID]())
	if !ok {
		return checkpoint, nil, knapweedpulley.NewRefusal(
			knapweedpulley.CodeModelNotFound, knapweedpulley.NotRun, "model %s has no checkpoint", request.Model)
	}
	permit, ok := l.sources.Permits.Permit(request.Model)
	if !ok {
		return checkpoint, nil, knapweedpulley.NewRefusal(
			knapweedpulley.CodeNotPermitted, knapweedpulley.NotRun, "model %s has no permit", request.Model)
	}
	var list []knapweedpulley.EndpointStatus
	for _, id := range permit.Endpoints {
		if s, ok := l.sources.Endpoints.Status(id); ok {
			list = append(list, s)
		}
	}
	return checkpoint, l.policy.Rank(request, checkpoint, list), nil
}

// awaitPermit waits until a permit names an endpoint that is up, because the permits of
// a new template are written a short time after the template.
func (l *Loader) awaitPermit(
	ctx context.Context, request knapweedpulley.LoadRequest,
) (knapweedpulley.Checkpoint, []knapweedpulley.LoadOption, error) {
	// A quarter of the time is reserved for answering the waiting requests.
	ctx, cancel := context.WithTimeout(ctx, min(permitTimeout, request.Timeout*3/4))
	defer cancel()
	for {
		checkpoint, options, err := l.options(request)
		missing := err != nil && knapweedpulley.RefusalOf(err, "").Code == knapweedpulley.CodeNotPermitted
		if !missing && (err != nil || len(options) > 0) {
			return checkpoint, options, err
		}
		timer := time.NewTimer(permitPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return checkpoint, options, err
		}
	}
}

func (l *Loader) loadModel(ctx context.Context, request knapweedpulley.LoadRequest) (knapweedpulley.EndpointID, error) {
	if id, ok := l.leastLoaded(l.holders(request.Model, request.Adapter)); ok {
		return id, nil
	}
	if id, ok := l.leastLoaded(l.holders(request.Model, knapweedpulley.None[knapweedpulley.AdapterID]())); ok {
		return id, nil
	}
	checkpoint, options, err := l.awaitPermit(ctx, request)
	if err != nil {
		return "", err
	}
	last := error(knapweedpulley.NewRefusal(
		knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun, "no endpoint that the permit of model %s names is up",
		request.Model))
	for _, o := range options {
		if last = l.loadOn(ctx, request, checkpoint, o, false); last == nil {
			return o.Endpoint, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return "", last
}

// leastLoaded returns the endpoint with the fewest requests, and false if the list is
// empty.
func (l *Loader) leastLoaded(list []knapweedpulley.EndpointStatus) (knapweedpulley.EndpointID, bool) {
	var best knapweedpulley.EndpointID
	least := 0
	for i, s := range list {
		if load := l.sources.Endpoints.Load(s.Endpoint); i == 0 || load < least {
			best, least = s.Endpoint, load
		}
	}
	return best, len(list) > 0
}

// loadOn loads a model on one endpoint. If the checkpoint comes from the weight store,
// it acquires the transfer first. No request waits for a background load.
func (l *Loader) loadOn(
	ctx context.Context, request knapweedpulley.LoadRequest, c knapweedpulley.Checkpoint, o knapweedpulley.LoadOption,
	background bool,
) error {
	expected := l.estimator.Estimate(o.Tier, c.Size)
	s, _ := l.sources.Endpoints.Status(o.Endpoint)
	if _, there := stateOf(&s, request.Model); !there && o.Tier == knapweedpulley.TierRemote {
		t := l.transferRequest(ctx, request, knapweedpulley.TransferModel, expected)
		t.Background = background
		if err := l.acquireTransfer(ctx, t); err != nil {
			return err
		}
		defer l.releaseTransfer(ctx, t)
	}
	start := l.sources.Clock.Now()
	err := l.sendOrder(ctx, o.Endpoint, knapweedpulley.Order{
		Kind: knapweedpulley.OrderLoadModel, Model: request.Model, Size: c.Size,
	}, max(progressCheckFactor*expected, minProgressCheckDelay))
	if err == nil {
		l.estimator.Observe(o.Tier, c.Size, l.sources.Clock.Now().Sub(start))
	}
	return err
}

// loadAdapter loads an adapter on host, which holds its model, unless another endpoint
// already holds both.
func (l *Loader) loadAdapter(
	ctx context.Context, request knapweedpulley.LoadRequest, adapter knapweedpulley.AdapterID,
	host knapweedpulley.EndpointID,
) (knapweedpulley.EndpointID, error) {
	if id, ok := l.leastLoaded(l.holders(request.Model, request.Adapter)); ok {
		return id, nil
	}
	c, ok := l.sources.Checkpoints.Checkpoint(request.Model, request.Adapter)
	if !ok {
		return "", knapweedpulley.NewRefusal(
			knapweedpulley.CodeModelNotFound, knapweedpulley.NotRun, "adapter %s has no checkpoint", adapter)
	}
	t := l.transferRequest(ctx, request, knapweedpulley.TransferAdapter, adapterLoadTime)
	t.Adapter = adapter
	if err := l.acquireTransfer(ctx, t); err != nil {
		return "", err
	}
	defer l.releaseTransfer(ctx, t)
	return host, l.sendOrder(ctx, host, knapweedpulley.Order{
		Kind: knapweedpulley.OrderLoadAdapter, Model: request.Model, Adapter: adapter, Size: c.Size,
	}, minProgressCheckDelay)
}

// sendOrder sends an order to an agent and waits for its completion. It cancels the
// order if it takes longer than checkDelay and the agent doesn't report that the model
// is loading or loaded.
func (l *Loader) sendOrder(
	ctx context.Context, id knapweedpulley.EndpointID, o knapweedpulley.Order, checkDelay time.Duration,
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
	watch := time.AfterFunc(checkDelay, func() { l.checkProgress(ctx, cancel, id, o, checkDelay) })
	defer watch.Stop()
	err := link.Order(ctx, o)
	if err != nil && errors.Is(context.Cause(ctx), errNoProgress) {
		return errors.Wrapf(errNoProgress, "endpoint %s", id)
	}
	return err
}

var errNoProgress = errors.New("load order canceled: agent does not report the model as loading or loaded")

// checkProgress cancels an order with errNoProgress if the agent doesn't report that
// the model is loading or loaded, and otherwise checks again after checkDelay.
func (l *Loader) checkProgress(
	ctx context.Context, cancel context.CancelCauseFunc, id knapweedpulley.EndpointID, o knapweedpulley.Order,
	checkDelay time.Duration,
) {
	for ctx.Err() == nil {
		s, ok := l.sources.Endpoints.Status(id)
		if state, there := stateOf(&s, o.Model); !ok || !there || state == knapweedpulley.StateUnloading {
			cancel(errNoProgress)
			return
		}
		_ = machine.Pause(ctx, checkDelay)
	}
}

func (l *Loader) transferRequest(
	ctx context.Context, request knapweedpulley.LoadRequest, kind knapweedpulley.TransferKind, expected time.Duration,
) knapweedpulley.TransferRequest {
	return knapweedpulley.TransferRequest{
		Kind: kind, Entry: l.sources.Entry, Model: request.Model, Customer: request.Customer,
		Timeout: timeLeft(ctx), Duration: expected,
	}
}

// acquireTransfer requests a transfer repeatedly until it is granted, it is refused or
// ctx ends.
func (l *Loader) acquireTransfer(ctx context.Context, t knapweedpulley.TransferRequest) error {
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
			l.releaseTransfer(ctx, t)
			return knapweedpulley.NewRefusal(knapweedpulley.CodeDeadlineExceeded, knapweedpulley.NotRun,
				"transfer of model %s was not granted before the deadline", t.Model).WithRetryAfter(t.Duration)
		}
	}
}

// releaseTransfer reports the end of a transfer, even if ctx has ended.
func (l *Loader) releaseTransfer(ctx context.Context, t knapweedpulley.TransferRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), longPollTimeout)
	defer cancel()
	// If this call fails, the grant lapses at the entry process that limits transfers.
	_ = l.limiter.Done(ctx, t)
}
