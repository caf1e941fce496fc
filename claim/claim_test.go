package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/claim"
)

// inBubble runs a test with a fake store in a synctest bubble, which has a virtual clock.
func inBubble(t *testing.T, run func(t *testing.T, s *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		run(t, s)
		s.delayedWrites.Wait()
	})
}

func newLedger(t *testing.T, s *fakeStore) *claim.Ledger {
	t.Helper()
	l, cleanup := claim.NewLedger(s, claim.DefaultSettings())
	t.Cleanup(cleanup)
	return l
}

func newClaim(key, request string) knapweedpulley.Claim {
	return knapweedpulley.Claim{
		Customer: "iturralde", Route: "orders", Fingerprint: 7,
		Key: knapweedpulley.IdempotencyKey(key), Request: knapweedpulley.RequestID(request),
	}
}

func answerWithBody(body string) knapweedpulley.Answer {
	head := knapweedpulley.AnswerHead{
		Status: 200, Header: []knapweedpulley.HeaderField{{Name: "Content-Type", Value: "application/json"}},
	}
	return knapweedpulley.Answer{Head: head, Body: []byte(body)}
}

func assertState(
	t *testing.T, c knapweedpulley.Claimer, k knapweedpulley.Claim, want knapweedpulley.ClaimState,
) knapweedpulley.ClaimResult {
	t.Helper()
	result, err := c.Claim(t.Context(), k)
	is.New(t).NoErr(err)
	is.New(t).Equal(result.State, want)
	return result
}

func assertRefused(t *testing.T, err error, code knapweedpulley.Code) {
	t.Helper()
	var refusal *knapweedpulley.Refusal
	is.New(t).True(errors.As(err, &refusal))
	is.New(t).Equal(refusal.Code, code)
	is.New(t).Equal(refusal.Verdict, knapweedpulley.NotRun)
}

func TestClaimStates(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, s *fakeStore)
	}{
		{"a repeat of a running request is refused as a duplicate", func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			assertState(t, l, newClaim("k", "r1"), knapweedpulley.ClaimGranted)
			running := assertState(t, l, newClaim("k", "r2"), knapweedpulley.ClaimRunning)
			is.New(t).Equal(running.Refusal().Code, knapweedpulley.CodeDuplicate)
			is.New(t).Equal(running.Refusal().Verdict, knapweedpulley.MayHaveRun)
		}},
		{"a repeat of an answered request gets the same answer from any process", func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			assertState(t, l, newClaim("k", "r1"), knapweedpulley.ClaimGranted)
			is.New(t).NoErr(l.RecordAnswer(t.Context(), newClaim("k", "r1"), answerWithBody("booked")))
			is.New(t).Equal(assertState(t, l, newClaim("k", "r2"), knapweedpulley.ClaimAnswered).Answer, answerWithBody("booked"))
			other := assertState(t, newLedger(t, s), newClaim("k", "r3"), knapweedpulley.ClaimAnswered)
			is.New(t).Equal(other.Answer, answerWithBody("booked"))
			is.New(t).True(other.Refusal() == nil)
		}},
		{"an answer that is too large is not kept", func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			assertState(t, l, newClaim("k", "r1"), knapweedpulley.ClaimGranted)
			is.New(t).NoErr(l.RecordAnswer(t.Context(), newClaim("k", "r1"), answerWithBody(string(make([]byte, 1<<20)))))
			result := assertState(t, l, newClaim("k", "r2"), knapweedpulley.ClaimAnswered)
			is.New(t).Equal(result.Refusal().Verdict, knapweedpulley.MayHaveRun)
		}},
		{"another body under the same key is a conflict", func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			assertState(t, l, newClaim("k", "r1"), knapweedpulley.ClaimGranted)
			other := newClaim("k", "r2")
			other.Fingerprint = 8
			result := assertState(t, l, other, knapweedpulley.ClaimMismatch)
			is.New(t).Equal(result.Refusal().Verdict, knapweedpulley.NotRun)
		}},
		{"a claim released by its holder is granted to another request", func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			assertState(t, l, newClaim("k", "r1"), knapweedpulley.ClaimGranted)
			is.New(t).NoErr(l.Release(t.Context(), newClaim("k", "r2")))
			assertState(t, l, newClaim("k", "r2"), knapweedpulley.ClaimRunning)
			is.New(t).NoErr(l.Release(t.Context(), newClaim("k", "r1")))
			assertState(t, newLedger(t, s), newClaim("k", "r3"), knapweedpulley.ClaimGranted)
		}},
		{"a claim is kept for a day", func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			assertState(t, l, newClaim("k", "r1"), knapweedpulley.ClaimGranted)
			time.Sleep(23 * time.Hour)
			assertState(t, l, newClaim("k", "r2"), knapweedpulley.ClaimRunning)
			time.Sleep(2 * time.Hour)
			assertState(t, l, newClaim("k", "r3"), knapweedpulley.ClaimGranted)
		}},
		{"a claim whose caller has timed out is granted to another request", func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			ctx, cancel := context.WithTimeout(t.Context(), 11*time.Millisecond)
			defer cancel()
			_, err := l.Claim(ctx, newClaim("k", "r1"))
			assertRefused(t, err, knapweedpulley.CodeDeadlineExceeded)
			time.Sleep(time.Second)
			assertState(t, l, newClaim("k", "r2"), knapweedpulley.ClaimGranted)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { inBubble(t, c.run) })
	}
}

func TestStoreFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []writeFault
	}{
		{"a lost reply", []writeFault{faultReplyLost}},
		{"a lost write", []writeFault{faultWriteLost}},
		{"a write that takes effect late", []writeFault{faultWriteDelayed}},
		{"two writes that take effect late", []writeFault{faultWriteDelayed, faultWriteDelayed}},
	}
	for _, c := range cases {
		t.Run(c.name+" still results in one grant", func(t *testing.T) {
			inBubble(t, func(t *testing.T, s *fakeStore) {
				s.failNext(c.faults...)
				assertState(t, newLedger(t, s), newClaim("k", "r1"), knapweedpulley.ClaimGranted)
				time.Sleep(time.Second)
				assertState(t, newLedger(t, s), newClaim("k", "r2"), knapweedpulley.ClaimRunning)
			})
		})
	}
	t.Run("claims are refused while the store is unavailable", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			s.setDown(true)
			_, err := l.Claim(t.Context(), newClaim("k", "r1"))
			assertRefused(t, err, knapweedpulley.CodeStoreUnavailable)
			s.setDown(false)
			assertState(t, l, newClaim("k", "r2"), knapweedpulley.ClaimGranted)
		})
	})
	t.Run("a refused claim whose write took effect is released", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			assertState(t, l, newClaim("other", "r0"), knapweedpulley.ClaimGranted)
			s.fault = func() writeFault {
				s.down = true
				return faultReplyLost
			}
			_, err := l.Claim(t.Context(), newClaim("k", "r1"))
			assertRefused(t, err, knapweedpulley.CodeStoreUnavailable)
			s.failNext()
			s.setDown(false)
			time.Sleep(5 * time.Second)
			assertState(t, newLedger(t, s), newClaim("k", "r2"), knapweedpulley.ClaimGranted)
		})
	})
}

// TestConcurrentClaims checks that a key is granted at most once when several processes claim the
// same keys while the store injects all kinds of faults.
func TestConcurrentClaims(t *testing.T) {
	const (
		seeds     = 40
		processes = 3
		keys      = 40
	)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T, s *fakeStore) {
				s.failRandomly(seed, 0.3)
				granted := make([][]int, processes)
				var group sync.WaitGroup
				for p := range processes {
					l := newLedger(t, s)
					granted[p] = make([]int, keys)
					for k := range keys {
						group.Go(func() {
							time.Sleep(time.Duration(k%7) * 9 * time.Millisecond)
							result, err := l.Claim(t.Context(), newClaim(fmt.Sprint(k), fmt.Sprintf("r%d-%d", p, k)))
							if err == nil && result.State == knapweedpulley.ClaimGranted {
								granted[p][k] = 1
							}
						})
					}
				}
				group.Wait()
				assertOneGrant(t, granted, keys)
			})
		})
	}
}

func assertOneGrant(t *testing.T, granted [][]int, keys int) {
	t.Helper()
	for k := range keys {
		grants := 0
		for _, g := range granted {
			grants += g[k]
		}
		if grants > 1 {
			t.Errorf("key %d was granted %d times", k, grants)
		}
	}
}

func TestBatches(t *testing.T) {
	t.Run("the write rate does not grow with the request rate", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			const perSecond, seconds = 1000, 3
			var group sync.WaitGroup
			for i := range perSecond * seconds {
				group.Go(func() {
					time.Sleep(time.Duration(i) * time.Second / perSecond)
					assertState(t, l, newClaim(fmt.Sprint(i), "r"), knapweedpulley.ClaimGranted)
				})
			}
			group.Wait()
			// Sixteen buckets make at most ten writes a second each. Archives come on top.
			t.Logf("%d claims took %d writes, %d of them archives", perSecond*seconds, s.writes, s.archives())
			is.New(t).True(s.writes-s.archives() <= 16*10*(seconds+1))
			is.New(t).True(s.largest < 1<<20)
		})
	})
	t.Run("archived claims and answers are found until they expire", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *fakeStore) {
			l := newLedger(t, s)
			for i := range 400 {
				k := newClaim(fmt.Sprint(i), "r1")
				assertState(t, l, k, knapweedpulley.ClaimGranted)
				is.New(t).NoErr(l.RecordAnswer(t.Context(), k, answerWithBody(string(make([]byte, 8<<10)))))
			}
			is.New(t).True(s.archives() > 16)
			other := newLedger(t, s)
			for i := range 400 {
				result := assertState(t, other, newClaim(fmt.Sprint(i), "r2"), knapweedpulley.ClaimAnswered)
				is.New(t).Equal(len(result.Answer.Body), 8<<10)
			}
			time.Sleep(25 * time.Hour)
			for i := range 400 {
				assertState(t, other, newClaim(fmt.Sprint(i), "r3"), knapweedpulley.ClaimGranted)
			}
			is.New(t).Equal(s.archives(), 0) // Expired archives were removed.
		})
	})
}
