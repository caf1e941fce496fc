package contract_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// revocable is a permission that ends when it is revoked.
type revocable struct{ revoked atomic.Bool }

func (r *revocable) Held() bool { return !r.revoked.Load() }

// newQueueHolder returns the allowances of a holder of half of a contract, in whose part 500 tokens accrue a
// second up to 500. The part is empty.
func newQueueHolder(t *testing.T, permission knapweedpulley.Permission) *contract.Allowances {
	t.Helper()
	a := contract.NewAllowances(fake.Clock{}, "one", 2)
	a.EnableQueues()
	a.Bind(permission)
	a.Configure([]knapweedpulley.Contract{{Customer: firm, Rate: 1000, Burst: 1000}})
	a.Assign(gateways(2))
	time.Sleep(time.Minute)
	assertTaken(t, a, 500, true)
	return a
}

func reservation(n knapweedpulley.Tokens, wait time.Duration) knapweedpulley.Reservation {
	return knapweedpulley.Reservation{Customer: firm, Tokens: n, Route: "chat", MaxWait: wait, Fingerprint: knapweedpulley.Fingerprint(n)}
}

// reserve reserves tokens in the background. The results are valid once the bubble is idle.
func reserve(ctx context.Context, a *contract.Allowances, n knapweedpulley.Tokens, wait time.Duration) (*knapweedpulley.ReservationResult, *error) {
	result, err := new(knapweedpulley.ReservationResult), new(error)
	go func() { *result, *err = a.Reserve(ctx, reservation(n, wait)) }()
	synctest.Wait()
	return result, err
}

func TestQueueHolders(t *testing.T) {
	is := is.New(t)
	c := knapweedpulley.Contract{Customer: firm, Rate: 18_800, Burst: 18_800}
	is.Equal(len(contract.QueueHolders(c, gateways(27))), 2) // each queue sees half of the demand
	is.Equal(len(contract.QueueHolders(c, gateways(1))), 1)
}

func TestReserve(t *testing.T) {
	runInBubble("a call waits for its tokens, and none are taken beside the queue meanwhile", t, func(t *testing.T) {
		is := is.New(t)
		a := newQueueHolder(t, &revocable{})
		result, _ := reserve(t.Context(), a, 400, time.Second)
		time.Sleep(700 * time.Millisecond)
		assertTaken(t, a, 100, false)
		is.Equal(a.Lend(firm, 100), knapweedpulley.Tokens(0))
		time.Sleep(101 * time.Millisecond)
		synctest.Wait()
		is.True(result.Granted)
	})
	runInBubble("returned tokens are granted at once to the call that waits", t, func(t *testing.T) {
		a := newQueueHolder(t, &revocable{})
		result, _ := reserve(t.Context(), a, 400, time.Second)
		a.Return(firm, 400)
		synctest.Wait()
		is.New(t).True(result.Granted)
	})
	runInBubble("a call whose caller leaves frees its place, and its tokens go to the next", t, func(t *testing.T) {
		is := is.New(t)
		a := newQueueHolder(t, &revocable{})
		ctx, cancel := context.WithCancel(t.Context())
		_, err := reserve(ctx, a, 400, time.Second)
		next, _ := reserve(t.Context(), a, 300, 2*time.Second)
		cancel()
		synctest.Wait()
		is.True(*err != nil)
		time.Sleep(601 * time.Millisecond)
		synctest.Wait()
		is.True(next.Granted)
	})
	runInBubble("tokens that were granted to a caller that has left are put back", t, func(t *testing.T) {
		for range 30 {
			a := newQueueHolder(t, &revocable{})
			ctx, cancel := context.WithCancel(t.Context())
			result, _ := reserve(ctx, a, 400, time.Second)
			// Whether the caller is answered before it leaves is random.
			cancel()
			a.Return(firm, 400)
			synctest.Wait()
			assertTaken(t, a, 400, !result.Granted)
		}
	})
	runInBubble("a holder whose permission ends tells those that wait to ask another one", t, func(t *testing.T) {
		is := is.New(t)
		p := &revocable{}
		a := newQueueHolder(t, p)
		_, err := reserve(t.Context(), a, 400, time.Second)
		p.revoked.Store(true)
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		is.Equal(knapweedpulley.RefusalOf(*err, knapweedpulley.CodeInternal).Code, knapweedpulley.CodeNotReady)
		_, known := a.Queues(firm)
		is.True(known)
	})
	runInBubble("a gateway that is no holder any more tells those that wait to ask another one", t, func(t *testing.T) {
		is := is.New(t)
		a := newQueueHolder(t, &revocable{})
		_, err := reserve(t.Context(), a, 400, time.Second)
		a.Assign(gateways(200))
		synctest.Wait()
		is.Equal(knapweedpulley.RefusalOf(*err, knapweedpulley.CodeInternal).Code, knapweedpulley.CodeNotReady)
	})
	runInBubble("a caller that leaves after the permission has ended lets no other use the tokens", t, func(t *testing.T) {
		is := is.New(t)
		p := &revocable{}
		a := newQueueHolder(t, p)
		ctx, cancel := context.WithCancel(t.Context())
		_, _ = reserve(ctx, a, 400, time.Second)
		next, err := reserve(t.Context(), a, 400, 2*time.Second)
		p.revoked.Store(true)
		cancel()
		synctest.Wait()
		is.True(!next.Granted)
		is.True(*err != nil)
		is.Equal(knapweedpulley.RefusalOf(*err, knapweedpulley.CodeInternal).Code, knapweedpulley.CodeNotReady)
	})
	runInBubble("a negative number of tokens is refused", t, func(t *testing.T) {
		a := newQueueHolder(t, &revocable{})
		_, err := a.Reserve(t.Context(), reservation(-400, 0))
		is.New(t).True(err != nil)
	})
}
