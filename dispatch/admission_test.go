package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/dispatch"
)

const (
	// changeAfter is when the configuration changes, after the request.
	changeAfter = 300 * time.Millisecond
	// loadTime is the time that a load of a model takes.
	loadTime = time.Second
)

// changingAdmission is a configuration that is replaced after changeAfter.
type changingAdmission struct {
	replaced chan struct{}
	// refusal is what the next configuration says of requests.
	refusal error
}

func newChangingAdmission(refusal error) *changingAdmission {
	a := &changingAdmission{replaced: make(chan struct{}), refusal: refusal}
	time.AfterFunc(changeAfter, func() { close(a.replaced) })
	return a
}

// Readmit implements knapweedpulley.RequestAdmission.
func (a *changingAdmission) Readmit(*knapweedpulley.Request) (<-chan struct{}, error) {
	select {
	case <-a.replaced:
		return make(chan struct{}), a.refusal
	default:
		return a.replaced, nil
	}
}

// slowLoader loads models in loadTime.
type slowLoader struct{ *fakes }

// LoadModel implements knapweedpulley.ModelLoader.
func (l slowLoader) LoadModel(ctx context.Context, _ knapweedpulley.LoadRequest) (knapweedpulley.EndpointID, error) {
	select {
	case <-time.After(loadTime):
		return "endpoint-1", nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// slowLink is a link over which requests run for loadTime before their scripted outcome.
type slowLink struct{ *fakes }

// Link implements knapweedpulley.EndpointLinks.
func (l slowLink) Link(knapweedpulley.EndpointID) (knapweedpulley.EndpointLink, bool) { return l, true }

// Run implements knapweedpulley.EndpointLink.
func (l slowLink) Run(ctx context.Context, r knapweedpulley.Request, to knapweedpulley.AnswerWriter) (knapweedpulley.Usage, error) {
	time.Sleep(loadTime)
	return l.fakes.Run(ctx, r, to)
}

// scarceRate refuses charges until loadTime after the first one.
type scarceRate struct {
	*fakes

	until time.Time
}

// Charge implements knapweedpulley.RateLimiter.
func (s *scarceRate) Charge(c knapweedpulley.CustomerID, n knapweedpulley.Tokens) (knapweedpulley.Receipt, error) {
	if s.until.IsZero() {
		s.until = time.Now().Add(loadTime)
	}
	if left := time.Until(s.until); left > 0 {
		return knapweedpulley.Receipt{}, knapweedpulley.NewRefusal(knapweedpulley.CodeRateExceeded, knapweedpulley.NotRun, "test").WithRetryAfter(left)
	}
	return s.fakes.Charge(c, n)
}

// serveBesideChange serves a request beside a change of the configuration. It returns the time that it took.
func serveBesideChange(t *testing.T, f *fakes, r knapweedpulley.Request, refusal error) (time.Duration, error) {
	t.Helper()
	return serveAtRate(t, f, f, r, refusal)
}

// serveAtRate is serveBesideChange with a given rate limiter.
func serveAtRate(
	t *testing.T, f *fakes, limiter knapweedpulley.RateLimiter, r knapweedpulley.Request, refusal error,
) (time.Duration, error) {
	t.Helper()
	d := dispatch.NewDispatcher(dispatch.Dependencies{
		Lease: f, Admission: newChangingAdmission(refusal), Suspects: f.suspects, Limiter: limiter, Claimer: f,
		Chooser: f, Waker: slowLoader{f}, Links: slowLink{f}, Log: &log.Logger{Handler: discard.New()},
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r.Charge = 100
	began := time.Now()
	_, err := d.Serve(ctx, &r, &recordedAnswer{})
	return time.Since(began), err
}

// A request waited for its model, or for an endpoint of its service, and ran after its customer no longer
// had the model or the route.
func TestRequestThatIsNoLongerAdmittedIsRefused(t *testing.T) {
	modelGone := refusal(knapweedpulley.CodeModelNotFound, knapweedpulley.NotRun)
	routeGone := refusal(knapweedpulley.CodeRouteNotFound, knapweedpulley.NotRun)
	withdrawn := refusal(knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun)
	service := knapweedpulley.Request{ID: "r", Kind: knapweedpulley.KindService, Route: "ledger"}
	for name, test := range map[string]struct {
		request knapweedpulley.Request
		refusal error
		code    knapweedpulley.Code
	}{
		"while its model is loaded":         {chat(true), modelGone, knapweedpulley.CodeModelNotFound},
		"while its service has no endpoint": {service, routeGone, knapweedpulley.CodeRouteNotFound},
		"with a key that is withdrawn":      {chat(true), withdrawn, knapweedpulley.CodeInvalidKey},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakes{attempts: []attempt{{body: "hello"}}}
				took, err := serveBesideChange(t, f, test.request, test.refusal)
				assertRefused(t, err, test.code, knapweedpulley.NotRun)
				is.New(t).Equal(took, changeAfter)
				is.New(t).Equal(len(f.ran), 0)
				assertSettled(t, f, 0)
			})
		})
	}
	t.Run("while it waits for its customer's rate", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakes{loaded: true, attempts: []attempt{{body: "hello"}}}
			took, err := serveAtRate(t, f, &scarceRate{fakes: f}, chat(true), modelGone)
			assertRefused(t, err, knapweedpulley.CodeModelNotFound, knapweedpulley.NotRun)
			is.New(t).Equal(took, changeAfter)
			is.New(t).Equal(len(f.ran), 0)
		})
	})
	t.Run("before it is repeated", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			lost := refusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun)
			f := &fakes{loaded: true, attempts: []attempt{{err: lost}, {body: "hello"}}}
			took, err := serveBesideChange(t, f, chat(true), modelGone)
			assertRefused(t, err, knapweedpulley.CodeModelNotFound, knapweedpulley.MayHaveRun)
			is.New(t).Equal(took, loadTime)
			is.New(t).Equal(len(f.ran), 1)
		})
	})
	t.Run("a request that runs already is answered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakes{loaded: true, attempts: []attempt{{body: "hello"}}}
			_, err := serveBesideChange(t, f, chat(true), modelGone)
			is.New(t).NoErr(err)
			assertSettled(t, f, 7)
		})
	})
	t.Run("a request that stays admitted waits on", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fakes{attempts: []attempt{{body: "hello"}}}
			_, err := serveBesideChange(t, f, chat(true), nil)
			is.New(t).NoErr(err)
			assertSettled(t, f, 7)
		})
	})
}
