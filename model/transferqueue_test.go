package model_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/model"
)

func newTransferRequest(customer knapweedpulley.CustomerID, number int, timeout time.Duration) knapweedpulley.TransferRequest {
	return knapweedpulley.TransferRequest{
		Kind: knapweedpulley.TransferModel, Entry: "n", Customer: customer, Timeout: timeout, Duration: time.Second,
		Model: knapweedpulley.ModelID(fmt.Sprintf("%s-%02d", customer, number)),
	}
}

func at(d time.Duration) knapweedpulley.Instant { return knapweedpulley.Instant(d) }

func assertGranted(t *testing.T, r *model.TransferQueue, now time.Duration, ticket knapweedpulley.TransferRequest, want bool) {
	t.Helper()
	got, err := r.Acquire(ticket, at(now))
	is := is.New(t)
	is.NoErr(err)
	is.Equal(got, want)
}

// drainOrder ends the transfers one by one, while the other requests are repeated, and
// returns the customers in the order in which their transfers were granted.
func drainOrder(r *model.TransferQueue, tickets []knapweedpulley.TransferRequest, running knapweedpulley.TransferRequest) string {
	order := ""
	for i := 0; len(tickets) > 0; i++ {
		now := at(time.Duration(i+1) * time.Second)
		for _, t := range tickets {
			_, _ = r.Acquire(t, now)
		}
		r.Done(running, now)
		tickets = slices.DeleteFunc(tickets, func(t knapweedpulley.TransferRequest) bool {
			if !r.Granted(t) {
				return false
			}
			order += string(t.Customer)
			running = t
			return true
		})
	}
	return order
}

func TestTransferQueue(t *testing.T) {
	one := model.Limits{Parallel: 1, Rate: 1000}
	t.Run("grants exceed neither the parallel transfers nor the rate", func(t *testing.T) {
		r := model.NewTransferQueue(model.Limits{Parallel: 2, Rate: 4})
		assertGranted(t, r, 0, newTransferRequest("a", 1, time.Minute), true)
		assertGranted(t, r, 0, newTransferRequest("a", 2, time.Minute), false)
		assertGranted(t, r, 250*time.Millisecond, newTransferRequest("a", 2, time.Minute), true)
		assertGranted(t, r, time.Second, newTransferRequest("a", 3, time.Minute), false)
		r.Done(newTransferRequest("a", 1, 0), at(2*time.Second))
		assertGranted(t, r, 2*time.Second, newTransferRequest("a", 3, time.Minute), true)
	})
	t.Run("a repeated request keeps its grant", func(t *testing.T) {
		r := model.NewTransferQueue(one)
		assertGranted(t, r, 0, newTransferRequest("a", 1, time.Minute), true)
		assertGranted(t, r, time.Second, newTransferRequest("a", 1, time.Minute), true)
	})
	t.Run("no customer gets more than the maximum lead over a waiting one", func(t *testing.T) {
		r := model.NewTransferQueue(one)
		first := newTransferRequest("a", 0, time.Minute)
		assertGranted(t, r, 0, first, true)
		var tickets []knapweedpulley.TransferRequest
		for i := range 6 {
			tickets = append(tickets, newTransferRequest("a", i+1, 10*time.Second))
		}
		for i := range 2 {
			tickets = append(tickets, newTransferRequest("b", i, time.Minute))
		}
		for _, k := range tickets {
			assertGranted(t, r, 0, k, false)
		}
		is.New(t).Equal(drainOrder(r, tickets, first), "aababaaa")
	})
	t.Run("the request that waited longest in relation to its deadline is granted first", func(t *testing.T) {
		r := model.NewTransferQueue(one)
		first := newTransferRequest("a", 0, time.Minute)
		assertGranted(t, r, 0, first, true)
		tickets := []knapweedpulley.TransferRequest{newTransferRequest("a", 1, time.Minute), newTransferRequest("b", 1, 5*time.Second)}
		for _, k := range tickets {
			assertGranted(t, r, 0, k, false)
		}
		is.New(t).Equal(drainOrder(r, tickets, first), "ba")
	})
	t.Run("a request that would wait beyond its deadline is refused with a retry time", func(t *testing.T) {
		r := model.NewTransferQueue(one)
		assertGranted(t, r, 0, newTransferRequest("a", 0, time.Minute), true)
		for i := range 100 {
			assertGranted(t, r, 0, newTransferRequest("b", i, time.Minute), false)
		}
		_, err := r.Acquire(newTransferRequest("c", 0, time.Second), 0)
		assertRefused(t, err, knapweedpulley.CodeOverloaded)
		is.New(t).True(knapweedpulley.RefusalOf(err, "").RetryAfter > time.Second)
	})
	t.Run("a grant that isn't released lapses", func(t *testing.T) {
		r := model.NewTransferQueue(one)
		assertGranted(t, r, 0, newTransferRequest("a", 0, time.Minute), true)
		assertGranted(t, r, 9*time.Second, newTransferRequest("a", 1, time.Minute), false)
		assertGranted(t, r, 11*time.Second, newTransferRequest("a", 1, time.Minute), true)
	})
}
