package dispatch

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const (
	// maxAttempts bounds the attempts at one request.
	maxAttempts = 4
	// answerMargin is the time before the deadline that is reserved for the way
	// of the answer back to the caller.
	answerMargin = 20 * time.Millisecond
	// endpointRetryInterval is the time between two searches for an endpoint of a
	// service while none is available.
	endpointRetryInterval = 100 * time.Millisecond
)

// Dependencies holds the parts of the entry that a dispatcher uses.
type Dependencies struct {
	Lease knapweedpulley.Lease
	// Admission decides on requests that have waited.
	Admission knapweedpulley.RequestAdmission
	Suspects  knapweedpulley.ContentSuspectList
	Limiter   knapweedpulley.RateLimiter
	Claimer   knapweedpulley.Claimer
	Chooser   knapweedpulley.EndpointSelector
	Waker     knapweedpulley.ModelLoader
	Links     knapweedpulley.EndpointLinks
	Zone      knapweedpulley.ZoneID
	Log       log.Interface
}

// Dispatcher serves requests that were authenticated by an entry.
type Dispatcher struct {
	Dependencies

	retries *retryBudget
}

// NewDispatcher returns a dispatcher with a full retry budget.
func NewDispatcher(dependencies Dependencies) *Dispatcher {
	return &Dispatcher{Dependencies: dependencies, retries: newRetryBudget()}
}

// Serve runs a request and writes its answer to w. The deadline of ctx is the
// request's. An error is a *Refusal whose verdict holds for all attempts.
func (d *Dispatcher) Serve(
	ctx context.Context, r *knapweedpulley.Request, w knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	if !d.Lease.Valid() {
		return knapweedpulley.Usage{}, knapweedpulley.NewRefusal(knapweedpulley.CodeNotReady, knapweedpulley.NotRun,
			"this entry has no valid lease: it has lost contact with the other entries").WithRetryAfter(time.Second)
	}
	if d.isRefused(r) && !d.Suspects.MayProbeContent(r.Fingerprint) {
		return knapweedpulley.Usage{}, newSuspectRefusal()
	}
	receipt, err := d.charge(ctx, r)
	if err != nil {
		return knapweedpulley.Usage{}, err
	}
	usage, err := d.runWithClaim(ctx, r, w)
	d.Limiter.Settle(receipt, tokensDue(receipt, usage, err))
	return usage, err
}

// tokensDue returns the tokens that a request costs: none if it did not run, the
// reported usage if there is one or the request succeeded, and otherwise all
// that was charged.
func tokensDue(receipt knapweedpulley.Receipt, usage knapweedpulley.Usage, err error) knapweedpulley.Tokens {
	switch {
	case err != nil && knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun:
		return 0
	case usage.Total() > 0 || err == nil:
		return usage.Total()
	default:
		return receipt.Charged
	}
}

// isRefused reports whether the content of a request ran at repeated crashes of engines.
func (d *Dispatcher) isRefused(r *knapweedpulley.Request) bool {
	return d.Suspects.State(r.Fingerprint) == knapweedpulley.SuspectRefuse
}

func newSuspectRefusal() *knapweedpulley.Refusal {
	return knapweedpulley.NewRefusal(knapweedpulley.CodeCrashSuspect, knapweedpulley.NotRun,
		"engines crashed while running a request with this content")
}

// checkSuspect isolates the next attempt at a request whose content ran at one crash of an
// engine. It refuses one whose content ran at a further crash, unless the request may be sent
// as a probe of its content. A request becomes a probe at its first attempt only.
func (d *Dispatcher) checkSuspect(r *knapweedpulley.Request) error {
	switch d.Suspects.State(r.Fingerprint) {
	case knapweedpulley.SuspectRefuse:
		if r.Attempt > 0 || !d.Suspects.TryProbeContent(r.Fingerprint) {
			return newSuspectRefusal()
		}
		d.Log.WithField("request", r.ID).WithField("content", r.Fingerprint).
			Info("sending a request with a refused content as a probe")
		r.Isolated = true
	case knapweedpulley.SuspectIsolate:
		r.Isolated = true
	case knapweedpulley.SuspectNone:
	}
	return nil
}

// run attempts the request until it is answered or may not be retried. The
// verdict of the refusal is MayHaveRun if any attempt may have run.
func (d *Dispatcher) run(
	ctx context.Context, r *knapweedpulley.Request, w *relay,
) (knapweedpulley.Usage, error) {
	avoid := knapweedpulley.NewSet[knapweedpulley.EndpointID]()
	verdict := knapweedpulley.NotRun
	if err := d.checkSuspect(r); err != nil {
		return knapweedpulley.Usage{}, err
	}
	isProbe := d.isRefused(r)
	for {
		r.Attempt++
		usage, err := d.attempt(ctx, r, w, avoid)
		if err == nil {
			d.Suspects.RecordAnswer(r.Fingerprint, nil)
			return usage, nil
		}
		refusal := knapweedpulley.RefusalOf(err, knapweedpulley.CodeEngineFailed)
		if refusal.Verdict == knapweedpulley.MayHaveRun {
			verdict = knapweedpulley.MayHaveRun
		}
		if !d.mayRetry(ctx, r, w, refusal) {
			return usage, withVerdict(refusal, verdict)
		}
		if err := d.readmit(r); err != nil {
			return usage, withVerdict(knapweedpulley.RefusalOf(err, knapweedpulley.CodeInternal), verdict)
		}
		if machine.Pause(ctx, retryDelay*time.Duration(r.Attempt)) != nil {
			return usage, withVerdict(refusal, verdict)
		}
		if isProbe && verdict == knapweedpulley.NotRun {
			continue
		}
		if err := d.checkSuspect(r); err != nil {
			return usage, withVerdict(knapweedpulley.RefusalOf(err, knapweedpulley.CodeCrashSuspect), verdict)
		}
	}
}

// attempt makes one attempt at one endpoint, and adds the endpoint to avoid if it
// fails there.
func (d *Dispatcher) attempt(
	ctx context.Context, r *knapweedpulley.Request, w *relay, avoid knapweedpulley.Set[knapweedpulley.EndpointID],
) (knapweedpulley.Usage, error) {
	endpoint, err := d.selectEndpoint(ctx, r, avoid)
	if err != nil {
		return knapweedpulley.Usage{}, err
	}
	defer d.Chooser.Done(r, endpoint)
	if err := d.readmit(r); err != nil {
		return knapweedpulley.Usage{}, err
	}
	link, ok := d.Links.Link(endpoint)
	if !ok {
		avoid.Add(endpoint)
		return knapweedpulley.Usage{}, knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, knapweedpulley.NotRun,
			"no link to endpoint %s", endpoint)
	}
	r.Timeout = timeLeft(ctx)
	usage, err := link.Run(ctx, *r, w)
	if err != nil {
		avoid.Add(endpoint)
		d.Log.WithFields(log.Fields{"request": r.ID, "attempt": r.Attempt, "endpoint": endpoint}).
			WithError(err).Info("attempt failed")
	}
	return usage, err
}

// selectEndpoint returns an endpoint that can run the request. If there is none, it waits for one, and
// refuses the request as soon as it is no longer admitted.
func (d *Dispatcher) selectEndpoint(
	ctx context.Context, r *knapweedpulley.Request, avoid knapweedpulley.Set[knapweedpulley.EndpointID],
) (knapweedpulley.EndpointID, error) {
	if endpoint, ok := d.Chooser.Choose(r, avoid); ok {
		return endpoint, nil
	}
	var endpoint knapweedpulley.EndpointID
	err := d.whileAdmitted(ctx, r, func(ctx context.Context) error {
		var err error
		endpoint, err = d.awaitEndpoint(ctx, r, avoid)
		return err
	})
	return endpoint, err
}

// awaitEndpoint has the model of a chat request loaded, and waits for an endpoint of a service. After the
// first wait it no longer avoids endpoints that failed: the only endpoint of a service may have recovered.
func (d *Dispatcher) awaitEndpoint(
	ctx context.Context, r *knapweedpulley.Request, avoid knapweedpulley.Set[knapweedpulley.EndpointID],
) (knapweedpulley.EndpointID, error) {
	for {
		if endpoint, ok := d.Chooser.Choose(r, avoid); ok {
			return endpoint, nil
		}
		if r.Kind == knapweedpulley.KindChat {
			return d.wakeModel(ctx, r)
		}
		if err := machine.Pause(ctx, endpointRetryInterval); err != nil {
			return "", knapweedpulley.NewRefusal(knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun,
				"no endpoint serves %s", r.Route).WithRetryAfter(time.Second)
		}
		clear(avoid)
	}
}

// wakeModel has the request's model loaded, and adds the time that this took to
// the cold start of the request.
func (d *Dispatcher) wakeModel(ctx context.Context, r *knapweedpulley.Request) (knapweedpulley.EndpointID, error) {
	start := time.Now()
	endpoint, err := d.Waker.LoadModel(ctx, knapweedpulley.LoadRequest{
		Model:    r.Model,
		Adapter:  r.Adapter,
		Customer: r.Customer,
		Zone:     d.Zone,
		Timeout:  timeLeft(ctx),
	})
	r.ColdStart += time.Since(start)
	if err != nil {
		// The request has not run, whatever the outcome of the load.
		return "", withVerdict(knapweedpulley.RefusalOf(err, knapweedpulley.CodeNoEndpoint), knapweedpulley.NotRun)
	}
	d.Chooser.Assign(r, endpoint)
	return endpoint, nil
}

// withVerdict returns a copy of the refusal with the given verdict.
func withVerdict(r *knapweedpulley.Refusal, v knapweedpulley.Verdict) *knapweedpulley.Refusal {
	c := *r
	c.Verdict = v
	return &c
}

// timeLeft returns the time that a back end has for the request: the time until
// the deadline less answerMargin, or zero if there is no deadline.
func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline)-answerMargin, 0)
}
