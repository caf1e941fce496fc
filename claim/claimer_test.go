package claim_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/claim"
)

// remoteOwnership is a membership of two members in which the other member owns all buckets.
type remoteOwnership struct{}

func (remoteOwnership) Valid() bool { return true }

func (remoteOwnership) Self() knapweedpulley.Member { return knapweedpulley.Member{Entry: "self"} }

func (p remoteOwnership) Members() []knapweedpulley.Member {
	return []knapweedpulley.Member{p.Owner(""), p.Self()}
}

func (remoteOwnership) Owner(string) knapweedpulley.Member {
	return knapweedpulley.Member{Entry: "owner"}
}

// fakeForwarder forwards calls to a ledger in the same process. With losesReplies, the calls take
// effect but return an error. With a delay, a claim reaches the ledger only after that time, and
// its call returns an error when its context ends.
type fakeForwarder struct {
	ledger       *claim.Ledger
	losesReplies bool
	delay        time.Duration
	calls        int
}

var errConnectionLost = errors.New("connection lost")

func (f *fakeForwarder) recordCall() error {
	f.calls++
	if f.losesReplies {
		return errConnectionLost
	}
	return nil
}

func (f *fakeForwarder) ForwardClaim(
	ctx context.Context, _ knapweedpulley.Member, c knapweedpulley.Claim,
) (knapweedpulley.ClaimResult, error) {
	if f.delay > 0 {
		go func() {
			time.Sleep(f.delay)
			_, _ = f.ledger.Claim(ctx, c)
		}()
		<-ctx.Done()
		return knapweedpulley.ClaimResult{}, errConnectionLost
	}
	result, err := f.ledger.Claim(ctx, c)
	if lost := f.recordCall(); lost != nil {
		return knapweedpulley.ClaimResult{}, lost
	}
	return result, err
}

func (f *fakeForwarder) ForwardAnswer(
	ctx context.Context, _ knapweedpulley.Member, c knapweedpulley.Claim, a knapweedpulley.Answer,
) error {
	return errors.CombineErrors(f.recordCall(), f.ledger.RecordAnswer(ctx, c, a))
}

func (f *fakeForwarder) ForwardRelease(ctx context.Context, _ knapweedpulley.Member, c knapweedpulley.Claim) error {
	return errors.CombineErrors(f.recordCall(), f.ledger.Release(ctx, c))
}

func TestClaimer(t *testing.T) {
	cases := []struct {
		name      string
		forwarder fakeForwarder
	}{
		{"the owner grants the claim", fakeForwarder{}},
		{"a grant whose reply was lost is found by a local attempt of the same request", fakeForwarder{losesReplies: true}},
		{"a claim that reaches the owner too late changes nothing", fakeForwarder{delay: 2 * time.Second}},
		{"a grant that the owner releases is replaced by the local attempt", fakeForwarder{delay: 487 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, s *fakeStore) {
				is := is.New(t)
				f := c.forwarder
				f.ledger = newLedger(t, s)
				claimer := claim.NewClaimer(newLedger(t, s), remoteOwnership{}, &f)
				assertState(t, claimer, newClaim("k", "r1"), knapweedpulley.ClaimGranted)
				time.Sleep(5 * time.Second)
				assertState(t, f.ledger, newClaim("k", "r2"), knapweedpulley.ClaimRunning)
				is.NoErr(claimer.RecordAnswer(t.Context(), newClaim("k", "r1"), answerWithBody("done")))
				result := assertState(t, newLedger(t, s), newClaim("k", "r3"), knapweedpulley.ClaimAnswered)
				is.Equal(result.Answer, answerWithBody("done"))
			})
		})
	}
	t.Run("a claim that the owner has released can be granted anywhere", func(t *testing.T) {
		inBubble(t, func(t *testing.T, s *fakeStore) {
			f := fakeForwarder{ledger: newLedger(t, s)}
			claimer := claim.NewClaimer(newLedger(t, s), remoteOwnership{}, &f)
			assertState(t, claimer, newClaim("k", "r1"), knapweedpulley.ClaimGranted)
			is.New(t).NoErr(claimer.Release(t.Context(), newClaim("k", "r1")))
			assertState(t, newLedger(t, s), newClaim("k", "r2"), knapweedpulley.ClaimGranted)
			_, err := claimer.Claim(t.Context(), newClaim("k", "r1"))
			is.New(t).NoErr(err) // Another request holds the claim: this one is a duplicate, not an error.
		})
	})
}
