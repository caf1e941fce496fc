package dispatch_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/dispatch"
)

// attempt is the scripted outcome of one attempt at the back end.
type attempt struct {
	body string
	err  error
}

// fakes implements all dependencies of a dispatcher.
type fakes struct {
	leaseLapsed bool
	suspects    suspects
	loaded      bool
	// honorAvoid makes Choose respect the set of avoided endpoints.
	honorAvoid bool
	attempts   []attempt
	ran        []knapweedpulley.Request
	settled    []knapweedpulley.Tokens
	claim      knapweedpulley.ClaimResult
	claimErr   error
	answers    []knapweedpulley.Answer
	released   int
	wakes      int
	inFlight   int
}

func (f *fakes) Valid() bool { return !f.leaseLapsed }

// Readmit admits all requests.
func (*fakes) Readmit(*knapweedpulley.Request) (<-chan struct{}, error) { return nil, nil }

func (f *fakes) Charge(c knapweedpulley.CustomerID, n knapweedpulley.Tokens) (knapweedpulley.Receipt, error) {
	return knapweedpulley.Receipt{Customer: c, Charged: n}, nil
}

func (f *fakes) Settle(_ knapweedpulley.Receipt, used knapweedpulley.Tokens) {
	f.settled = append(f.settled, used)
}

func (f *fakes) Claim(context.Context, knapweedpulley.Claim) (knapweedpulley.ClaimResult, error) {
	return f.claim, f.claimErr
}

func (f *fakes) RecordAnswer(_ context.Context, _ knapweedpulley.Claim, a knapweedpulley.Answer) error {
	f.answers = append(f.answers, a)
	return nil
}

func (f *fakes) Release(context.Context, knapweedpulley.Claim) error {
	f.released++
	return nil
}

func (f *fakes) Choose(
	_ *knapweedpulley.Request, avoid knapweedpulley.Set[knapweedpulley.EndpointID],
) (knapweedpulley.EndpointID, bool) {
	if !f.loaded || (f.honorAvoid && avoid.Has("endpoint-1")) {
		return "", false
	}
	f.inFlight++
	return "endpoint-1", true
}

func (f *fakes) Assign(*knapweedpulley.Request, knapweedpulley.EndpointID) { f.inFlight++ }

func (f *fakes) Done(*knapweedpulley.Request, knapweedpulley.EndpointID) { f.inFlight-- }

func (f *fakes) LoadModel(context.Context, knapweedpulley.LoadRequest) (knapweedpulley.EndpointID, error) {
	f.wakes++
	return "endpoint-1", nil
}

func (f *fakes) Link(knapweedpulley.EndpointID) (knapweedpulley.EndpointLink, bool) {
	return f, true
}

func (f *fakes) Order(context.Context, knapweedpulley.Order) error { return nil }

func (f *fakes) Status() (knapweedpulley.EndpointStatus, bool) {
	return knapweedpulley.EndpointStatus{}, true
}

func (f *fakes) Run(
	_ context.Context, r knapweedpulley.Request, to knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	a := f.attempts[len(f.ran)]
	f.ran = append(f.ran, r)
	if a.body != "" {
		if err := to.WriteHead(knapweedpulley.AnswerHead{Status: 200}); err != nil {
			return knapweedpulley.Usage{}, err
		}
		if _, err := to.Write([]byte(a.body)); err != nil {
			return knapweedpulley.Usage{}, err
		}
	}
	if a.err != nil {
		return knapweedpulley.Usage{}, a.err
	}
	return knapweedpulley.Usage{Prompt: 3, Completion: 4}, nil
}

// suspects is a list of contents whose states don't change. None may be a probe.
type suspects map[knapweedpulley.Fingerprint]knapweedpulley.SuspectState

func (s suspects) State(f knapweedpulley.Fingerprint) knapweedpulley.SuspectState { return s[f] }

func (suspects) Report(context.Context, knapweedpulley.SuspectReport) {}

func (suspects) MayProbeContent(knapweedpulley.Fingerprint) bool { return false }

func (suspects) TryProbeContent(knapweedpulley.Fingerprint) bool { return false }

func (suspects) RecordAnswer(knapweedpulley.Fingerprint, []knapweedpulley.PartFingerprint) {}

// recordedAnswer is an answer as the caller received it.
type recordedAnswer struct {
	bytes.Buffer
}

func (*recordedAnswer) WriteHead(knapweedpulley.AnswerHead) error { return nil }

func refusal(code knapweedpulley.Code, verdict knapweedpulley.Verdict) error {
	return knapweedpulley.NewRefusal(code, verdict, "test")
}

func serve(t *testing.T, f *fakes, r knapweedpulley.Request) (string, error) {
	t.Helper()
	return serveWith(t, f, f.suspects, r)
}

// serveWith serves a request with a given list of suspects.
func serveWith(t *testing.T, f *fakes, list knapweedpulley.ContentSuspectList, r knapweedpulley.Request) (string, error) {
	t.Helper()
	d := dispatch.NewDispatcher(dispatch.Dependencies{
		Lease: f, Admission: f, Suspects: list, Limiter: f, Claimer: f, Chooser: f, Waker: f, Links: f,
		Log: &log.Logger{Handler: discard.New()},
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r.Charge = 100
	c := &recordedAnswer{}
	_, err := d.Serve(ctx, &r, c)
	return c.String(), err
}

func assertRefused(t *testing.T, err error, code knapweedpulley.Code, verdict knapweedpulley.Verdict) {
	t.Helper()
	is := is.New(t)
	var r *knapweedpulley.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Code, code)
	is.Equal(r.Verdict, verdict)
}

func assertSettled(t *testing.T, f *fakes, want knapweedpulley.Tokens) {
	t.Helper()
	is := is.New(t)
	is.Equal(f.settled, []knapweedpulley.Tokens{want})
	is.Equal(f.inFlight, 0)
}

func chat(idempotent bool) knapweedpulley.Request {
	return knapweedpulley.Request{ID: "r", Kind: knapweedpulley.KindChat, Idempotent: idempotent, Fingerprint: 7}
}

func TestAttempts(t *testing.T) {
	lost := refusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun)
	notRun := refusal(knapweedpulley.CodeDraining, knapweedpulley.NotRun)

	t.Run("an answered request is settled on its usage", func(t *testing.T) {
		is := is.New(t)
		f := &fakes{loaded: true, attempts: []attempt{{body: "hello"}}}
		body, err := serve(t, f, chat(true))
		is.NoErr(err)
		is.Equal(body, "hello")
		assertSettled(t, f, 7)
	})
	t.Run("a model that is not loaded is loaded before the attempt", func(t *testing.T) {
		is := is.New(t)
		f := &fakes{attempts: []attempt{{body: "hello"}}}
		_, err := serve(t, f, chat(true))
		is.NoErr(err)
		is.Equal(f.wakes, 1)
		assertSettled(t, f, 7)
	})
	t.Run("a request that did not run is retried though it is not idempotent", func(t *testing.T) {
		is := is.New(t)
		f := &fakes{loaded: true, attempts: []attempt{{err: notRun}, {body: "hello"}}}
		_, err := serve(t, f, chat(false))
		is.NoErr(err)
		is.Equal(len(f.ran), 2)
		is.Equal(f.ran[1].Attempt, 2)
	})
	t.Run("a request that may have run is not retried if it is not idempotent", func(t *testing.T) {
		f := &fakes{loaded: true, attempts: []attempt{{err: lost}}}
		_, err := serve(t, f, chat(false))
		assertRefused(t, err, knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun)
		assertSettled(t, f, 100)
	})
	t.Run("an idempotent request is retried until its answer has begun", func(t *testing.T) {
		f := &fakes{loaded: true, attempts: []attempt{{err: lost}, {body: "hel", err: lost}}}
		_, err := serve(t, f, chat(true))
		assertRefused(t, err, knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun)
		is.New(t).Equal(len(f.ran), 2)
	})
	t.Run("a later attempt that did not run keeps the verdict of the first", func(t *testing.T) {
		f := &fakes{loaded: true, attempts: []attempt{{err: lost}, {err: notRun}, {err: notRun}, {err: notRun}}}
		_, err := serve(t, f, chat(true))
		assertRefused(t, err, knapweedpulley.CodeDraining, knapweedpulley.MayHaveRun)
	})
	t.Run("a request that did not run is settled at zero tokens", func(t *testing.T) {
		f := &fakes{loaded: true, attempts: []attempt{{err: notRun}, {err: notRun}, {err: notRun}, {err: notRun}}}
		_, err := serve(t, f, chat(true))
		assertRefused(t, err, knapweedpulley.CodeDraining, knapweedpulley.NotRun)
		assertSettled(t, f, 0)
	})
}

func TestAdmission(t *testing.T) {
	t.Run("a request is refused while the lease is lapsed", func(t *testing.T) {
		f := &fakes{loaded: true, leaseLapsed: true}
		_, err := serve(t, f, chat(true))
		assertRefused(t, err, knapweedpulley.CodeNotReady, knapweedpulley.NotRun)
	})
	t.Run("content that ran at a crash runs isolated", func(t *testing.T) {
		is := is.New(t)
		suspects := suspects{7: knapweedpulley.SuspectIsolate}
		f := &fakes{loaded: true, suspects: suspects, attempts: []attempt{{body: "hello"}}}
		_, err := serve(t, f, chat(true))
		is.NoErr(err)
		is.True(f.ran[0].Isolated)
	})
	t.Run("content that crashed an engine while isolated is refused", func(t *testing.T) {
		suspects := suspects{7: knapweedpulley.SuspectRefuse}
		_, err := serve(t, &fakes{loaded: true, suspects: suspects}, chat(true))
		assertRefused(t, err, knapweedpulley.CodeCrashSuspect, knapweedpulley.NotRun)
	})
	t.Run("the only endpoint of a service is retried after it failed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			notRun := refusal(knapweedpulley.CodeLinkLost, knapweedpulley.NotRun)
			f := &fakes{loaded: true, honorAvoid: true, attempts: []attempt{{err: notRun}, {body: "booked"}}}
			body, err := serve(t, f, knapweedpulley.Request{Kind: knapweedpulley.KindService, Route: "ledger"})
			is.New(t).NoErr(err)
			is.New(t).Equal(body, "booked")
		})
	})
	t.Run("a service without an endpoint is refused before the deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			_, err := serve(t, &fakes{}, knapweedpulley.Request{Kind: knapweedpulley.KindService, Route: "ledger"})
			assertRefused(t, err, knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun)
		})
	})
}

func TestClaims(t *testing.T) {
	order := chat(false)
	order.Kind = knapweedpulley.KindService
	order.Idempotency = knapweedpulley.Some(knapweedpulley.IdempotencyKey("order-1"))
	granted := knapweedpulley.ClaimResult{State: knapweedpulley.ClaimGranted}

	t.Run("a request with a granted claim runs and its answer is recorded", func(t *testing.T) {
		is := is.New(t)
		f := &fakes{loaded: true, claim: granted, attempts: []attempt{{body: "booked"}}}
		_, err := serve(t, f, order)
		is.NoErr(err)
		is.Equal(string(f.answers[0].Body), "booked")
	})
	t.Run("an answered claim returns the recorded answer without a run", func(t *testing.T) {
		is := is.New(t)
		kept := knapweedpulley.Answer{Head: knapweedpulley.AnswerHead{Status: 200}, Body: []byte("booked")}
		f := &fakes{loaded: true, claim: knapweedpulley.ClaimResult{State: knapweedpulley.ClaimAnswered, Answer: kept}}
		body, err := serve(t, f, order)
		is.NoErr(err)
		is.Equal(body, "booked")
		is.Equal(len(f.ran), 0)
	})
	t.Run("an answered claim without a recorded answer is refused without a run", func(t *testing.T) {
		f := &fakes{loaded: true, claim: knapweedpulley.ClaimResult{State: knapweedpulley.ClaimAnswered}}
		_, err := serve(t, f, order)
		assertRefused(t, err, knapweedpulley.CodeDuplicate, knapweedpulley.MayHaveRun)
		is.New(t).Equal(len(f.ran), 0)
	})
	t.Run("a running claim is refused without a run", func(t *testing.T) {
		f := &fakes{loaded: true, claim: knapweedpulley.ClaimResult{State: knapweedpulley.ClaimRunning}}
		_, err := serve(t, f, order)
		assertRefused(t, err, knapweedpulley.CodeDuplicate, knapweedpulley.MayHaveRun)
		is.New(t).Equal(len(f.ran), 0)
	})
	t.Run("a request is refused without a run if claiming fails", func(t *testing.T) {
		unavailable := refusal(knapweedpulley.CodeStoreUnavailable, knapweedpulley.NotRun)
		f := &fakes{loaded: true, claimErr: unavailable}
		_, err := serve(t, f, order)
		assertRefused(t, err, knapweedpulley.CodeStoreUnavailable, knapweedpulley.NotRun)
		is.New(t).Equal(len(f.ran), 0)
	})
	t.Run("a claim is released after the verdict notRun", func(t *testing.T) {
		notRun := refusal(knapweedpulley.CodeDeadlineExceeded, knapweedpulley.NotRun)
		f := &fakes{loaded: true, claim: granted, attempts: []attempt{{err: notRun}}}
		_, err := serve(t, f, order)
		assertRefused(t, err, knapweedpulley.CodeDeadlineExceeded, knapweedpulley.NotRun)
		is.New(t).Equal(f.released, 1)
	})
	t.Run("a claim is not released after the verdict mayHaveRun", func(t *testing.T) {
		lost := refusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun)
		f := &fakes{loaded: true, claim: granted, attempts: []attempt{{err: lost}}}
		_, err := serve(t, f, order)
		assertRefused(t, err, knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun)
		is.New(t).Equal(f.released, 0)
	})
}
