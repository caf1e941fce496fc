package knapweedpulley_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

func assertVerdict(t *testing.T, err error, want knapweedpulley.Verdict) {
	t.Helper()
	is := is.New(t)
	is.Equal(knapweedpulley.VerdictOf(err), want)
}

func TestVerdictOf(t *testing.T) {
	refusal := knapweedpulley.NewRefusal(knapweedpulley.CodeQueueFull, knapweedpulley.NotRun, "queue holds %d", 3)

	t.Run("a refusal keeps its verdict", func(t *testing.T) {
		assertVerdict(t, refusal, knapweedpulley.NotRun)
	})
	t.Run("a wrapped refusal keeps its verdict", func(t *testing.T) {
		assertVerdict(t, errors.Wrap(refusal, "run request"), knapweedpulley.NotRun)
	})
	t.Run("an error without a verdict may have run", func(t *testing.T) {
		assertVerdict(t, errors.New("connection reset"), knapweedpulley.MayHaveRun)
	})
	t.Run("a copy with a retry time leaves the original unchanged", func(t *testing.T) {
		is := is.New(t)
		later := refusal.WithRetryAfter(time.Second)
		is.Equal(later.RetryAfter, time.Second)
		is.Equal(refusal.RetryAfter, time.Duration(0))
		assertVerdict(t, later, knapweedpulley.NotRun)
	})
}

// Guards against an answer with a status that HTTP doesn't define, from a record or another process.
func TestAnsweredClaimWithOddStatusIsRefused(t *testing.T) {
	for _, status := range []int{-1, 0, 1, 99, 100, 600, 999} {
		answer := knapweedpulley.Answer{Head: knapweedpulley.AnswerHead{Status: status}}
		r := knapweedpulley.ClaimResult{State: knapweedpulley.ClaimAnswered, Answer: answer}.Refusal()
		is.New(t).True(r != nil)
		assertVerdict(t, r, knapweedpulley.MayHaveRun)
	}
	answer := knapweedpulley.Answer{Head: knapweedpulley.AnswerHead{Status: 204}}
	is.New(t).True(knapweedpulley.ClaimResult{State: knapweedpulley.ClaimAnswered, Answer: answer}.Refusal() == nil)
}

func TestRefusalCause(t *testing.T) {
	refusal := knapweedpulley.NewRefusal(knapweedpulley.CodeDraining, knapweedpulley.NotRun, "stopping")
	assertCause := func(t *testing.T, cause error, want *knapweedpulley.Refusal) {
		t.Helper()
		ctx, cancel := context.WithCancelCause(t.Context())
		is.New(t).Equal(knapweedpulley.RefusalCause(ctx), nil)
		cancel(cause)
		child, end := context.WithTimeout(ctx, time.Second)
		defer end()
		is.New(t).Equal(knapweedpulley.RefusalCause(child), want)
	}
	t.Run("a refusal that canceled a context", func(t *testing.T) { assertCause(t, refusal, refusal) })
	t.Run("a context that was canceled without a refusal", func(t *testing.T) { assertCause(t, nil, nil) })
}

func TestBytesString(t *testing.T) {
	cases := []struct {
		amount knapweedpulley.Bytes
		want   string
	}{
		{0, "0 B"},
		{1500, "1500 B"},
		{64 * knapweedpulley.MiB, "64 MiB"},
		{2 * knapweedpulley.GiB, "2 GiB"},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			is.New(t).Equal(c.amount.String(), c.want)
		})
	}
}

func TestCallerLimits(t *testing.T) {
	own := knapweedpulley.CallerLimits{Header: 100, HeaderTimeout: time.Second, IdleTimeout: time.Minute}
	assertExceeds := func(t *testing.T, l knapweedpulley.CallerLimits, want bool) {
		t.Helper()
		is.New(t).Equal(l.Exceeds(own), want)
	}
	t.Run("equal or lower limits don't exceed", func(t *testing.T) {
		assertExceeds(t, own, false)
		assertExceeds(t, knapweedpulley.CallerLimits{Header: 1, Body: 1 << 20, HeaderTimeout: 1, IdleTimeout: 1}, false)
	})
	t.Run("a single higher limit exceeds", func(t *testing.T) {
		assertExceeds(t, knapweedpulley.CallerLimits{Header: 101}, true)
		assertExceeds(t, knapweedpulley.CallerLimits{HeaderTimeout: 2 * time.Second}, true)
		assertExceeds(t, knapweedpulley.CallerLimits{IdleTimeout: time.Hour}, true)
	})
}

func TestOption(t *testing.T) {
	t.Run("a present value takes precedence over the fallback", func(t *testing.T) {
		is.New(t).Equal(knapweedpulley.Some(3).Or(7), 3)
	})
	t.Run("an absent value gives the fallback", func(t *testing.T) {
		is.New(t).Equal(knapweedpulley.None[int]().Or(7), 7)
	})
}
