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

func ticket(customer knapweedpulley.CustomerID, number int, timeout time.Duration) knapweedpulley.TransferRequest {
	return knapweedpulley.TransferRequest{
		Kind: knapweedpulley.TransferModel, Entry: "n", Customer: customer, Timeout: timeout, Duration: time.Second,
		Model: knapweedpulley.ModelID(fmt.Sprintf("%s-%02d", customer, number)),
	}
}

func at(d time.Duration) knapweedpulley.Instant { return knapweedpulley.Instant(d) }

func assertGranted(t *testing.T, r *model.TransferQueue, now time.Duration, ticket knapweedpulley.TransferRequest, want bool) {
	t.Helper()
	got, err := r.Ask(ticket, at(now))
	is := is.New(t)
	is.NoErr(err)
	is.Equal(got, want)
}

// drain ends the transfers one by one, while the others go on asking, and
// returns the customers in the order in which theirs began.
func drain(r *model.TransferQueue, tickets []knapweedpulley.TransferRequest, running knapweedpulley.TransferRequest) string {
	order := ""
	for i := 0; len(tickets) > 0; i++ {
		now := at(time.Duration(i+1) * time.Second)
		for _, t := range tickets {
			_, _ = r.Ask(t, now)
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

func TestRation(t *testing.T) {
	one := model.Limits{Parallel: 1, Rate: 1000}
	t.Run("no more than the parallel transfers begin, at no more than the rate", func(t *testing.T) {
		r := model.NewTransferQueue(model.Limits{Parallel: 2, Rate: 4})
		assertGranted(t, r, 0, ticket("a", 1, time.Minute), true)
		assertGranted(t, r, 0, ticket("a", 2, time.Minute), false)
		assertGranted(t, r, 250*time.Millisecond, ticket("a", 2, time.Minute), true)
		assertGranted(t, r, time.Second, ticket("a", 3, time.Minute), false)
		r.Done(ticket("a", 1, 0), at(2*time.Second))
		assertGranted(t, r, 2*time.Second, ticket("a", 3, time.Minute), true)
	})
	t.Run("a repeated request keeps its grant", func(t *testing.T) {
		r := model.NewTransferQueue(one)
		assertGranted(t, r, 0, ticket("a", 1, time.Minute), true)
		assertGranted(t, r, time.Second, ticket("a", 1, time.Minute), true)
	})
	t.Run("customers take turns, within a bound", func(t *testing.T) {
		r := model.NewTransferQueue(one)
		first := ticket("a", 0, time.Minute)
		assertGranted(t, r, 0, first, true)
		var tickets []knapweedpulley.TransferRequest
		for i := range 6 {
			tickets = append(tickets, ticket("a", i+1, 10*time.Second))
		}
		for i := range 2 {
			tickets = append(tickets, ticket("b", i, time.Minute))
		}
		for _, k := range tickets {
			assertGranted(t, r, 0, k, false)
		}
		is.New(t).Equal(drain(r, tickets, first), "aababaaa")
	})
	t.Run("who has waited longest in relation to its deadline goes first", func(t *testing.T) {
		r := model.NewTransferQueue(one)
		first := ticket("a", 0, time.Minute)
		assertGranted(t, r, 0, first, true)
		tickets := []knapweedpulley.TransferRequest{ticket("a", 1, time.Minute), ticket("b", 1, 5*time.Second)}
		for _, k := range tickets {
			assertGranted(t, r, 0, k, false)
		}
		is.New(t).Equal(drain(r, tickets, first), "ba")
	})
	t.Run("who would wait past its deadline is refused with the time to wait", func(t *testing.T) {
		r := model.NewTransferQueue(one)
		assertGranted(t, r, 0, ticket("a", 0, time.Minute), true)
		for i := range 100 {
			assertGranted(t, r, 0, ticket("b", i, time.Minute), false)
		}
		_, err := r.Ask(ticket("c", 0, time.Second), 0)
		assertRefused(t, err, knapweedpulley.CodeOverloaded)
		is.New(t).True(knapweedpulley.RefusalOf(err, "").RetryAfter > time.Second)
	})
	t.Run("a grant whose holder is lost lapses", func(t *testing.T) {
		r := model.NewTransferQueue(one)
		assertGranted(t, r, 0, ticket("a", 0, time.Minute), true)
		assertGranted(t, r, 9*time.Second, ticket("a", 1, time.Minute), false)
		assertGranted(t, r, 11*time.Second, ticket("a", 1, time.Minute), true)
	})
}
