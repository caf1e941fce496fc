package burn

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// scopeName is the prefix of the names of the counters.
	scopeName = "burn"
	// tagCustomer is the tag with the customer's id.
	tagCustomer = "customer"
)

// Meter counts finished requests by customer and outcome. Its methods can be called concurrently.
type Meter struct {
	scope     tally.Scope
	customers sync.Map // of knapweedpulley.CustomerID to *counters
}

// counters has the counters of one customer, in the order of counterNames.
type counters struct {
	list []tally.Counter
}

// NewMeter returns a meter that creates its counters in a subscope of scope.
func NewMeter(scope tally.Scope) *Meter {
	return &Meter{scope: scope.SubScope(scopeName)}
}

// Record counts a finished request.
func (m *Meter) Record(e Event) {
	counts, ok := e.counts()
	if !ok {
		return
	}
	c := m.customer(e.Customer)
	for i, f := range counterNames() {
		if n := *f.counterIn(&counts); n != 0 {
			c.list[i].Inc(n)
		}
	}
}

// customer returns the counters of a customer, which it creates on the first call.
func (m *Meter) customer(id knapweedpulley.CustomerID) *counters {
	if c, ok := m.customers.Load(id); ok {
		return c.(*counters) //nolint:errcheck,forcetypeassert // The map holds nothing else.
	}
	scope := m.scope.Tagged(map[string]string{tagCustomer: string(id)})
	c := &counters{}
	for _, f := range counterNames() {
		c.list = append(c.list, scope.Counter(string(f)))
	}
	stored, _ := m.customers.LoadOrStore(id, c)
	return stored.(*counters) //nolint:errcheck,forcetypeassert // The map holds nothing else.
}
