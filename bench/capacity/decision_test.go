package capacity_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/bench/capacity"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
)

// decider makes the decisions on the path of a request whose model is loaded.
type decider struct {
	directory *customer.Directory
	limiter   *contract.Limiter
	fleet     *endpoint.Fleet
	secrets   []string
	requests  []knapweedpulley.Request
}

func newDecider(t testing.TB, endpoints, adapters int) *decider {
	t.Helper()
	plan := capacity.Plan()
	customers := max(adapters*plan.Customers/plan.Adapters, 1)
	d := &decider{
		directory: newDirectory(t, adapters),
		limiter:   newLimiter(t, customers, 0),
		fleet:     newFleet(endpoints, adapters),
	}
	for i := range customers {
		d.secrets = append(d.secrets, keySecret(i))
		d.requests = append(d.requests, knapweedpulley.Request{
			ID: knapweedpulley.RequestID(fmt.Sprintf("request-%05d", i)), Kind: knapweedpulley.KindChat,
			Model: modelID(i), Prefix: knapweedpulley.Fingerprint(i+1) << 40,
		})
	}
	return d
}

// decide authenticates the i-th request, charges its customer, chooses its endpoint and
// settles the charge. It reports whether all of these succeed.
func (d *decider) decide(i int) bool {
	i %= len(d.requests)
	c, _, ok := d.directory.Current().Authenticate(d.secrets[i])
	if !ok {
		return false
	}
	receipt, err := d.limiter.Charge(c.ID, 1)
	if err != nil {
		return false
	}
	r := &d.requests[i]
	id, ok := d.fleet.Choose(r, nil)
	if !ok {
		return false
	}
	d.fleet.Done(r, id)
	d.limiter.Settle(receipt, 0)
	return true
}

// BenchmarkDecision measures decisions while another goroutine writes continuously,
// alternating between a customer change and a status report of an agent.
func BenchmarkDecision(b *testing.B) {
	plan := capacity.Plan()
	for _, s := range []struct{ endpoints, adapters int }{{18, 210}, {plan.Servers, plan.Adapters}} {
		b.Run(fmt.Sprintf("%d endpoints, %d adapters", s.endpoints, s.adapters), func(b *testing.B) {
			d := newDecider(b, s.endpoints, s.adapters)
			stop, stopped := make(chan struct{}), make(chan struct{})
			change, status := customerChange(b, 0, 2), d.fleet.Current()[0]
			go func() {
				defer close(stopped)
				for ; ; change.Revision++ {
					select {
					case <-stop:
						return
					default:
						_ = d.directory.Apply(change)
						d.fleet.Update(status)
					}
				}
			}()
			b.ResetTimer()
			for i := range b.N {
				if !d.decide(i) {
					b.Fatal("no decision")
				}
			}
			b.StopTimer()
			close(stop)
			<-stopped
		})
	}
}

func TestDecisionAllocates(t *testing.T) {
	d := newDecider(t, 1000, capacity.Plan().Adapters)
	i := 0
	const runs = 5000
	allocations := testing.AllocsPerRun(runs, func() {
		i++
		if !d.decide(i) {
			t.Fatal("no decision")
		}
	})
	t.Logf("FIGURE decision: %.0f allocations", allocations)
	is.New(t).True(allocations <= 1)
}
