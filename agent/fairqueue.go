package agent

import (
	"github.com/knapweedpulley/knapweedpulley"
)

// customerQueue holds the waiting requests of one customer in a fair queue.
type customerQueue struct {
	customer knapweedpulley.CustomerID
	// virtualStart is the virtual time at which the customer's next request is due.
	virtualStart float64
	waiting      []*ticket
	running      int
}

// fairQueue orders waiting requests by start-time fair queueing: each customer gets tokens
// in proportion to its weight, regardless of the demand of the others. It is not safe for
// concurrent use.
type fairQueue struct {
	virtualTime float64
	customers   map[knapweedpulley.CustomerID]*customerQueue
	length      int
	tokens      knapweedpulley.Tokens
}

func newFairQueue() *fairQueue {
	return &fairQueue{customers: make(map[knapweedpulley.CustomerID]*customerQueue)}
}

// push adds a ticket behind its customer's tickets of the same or a higher priority.
func (q *fairQueue) push(t *ticket) {
	c, known := q.customers[t.request.Customer]
	if !known {
		c = &customerQueue{customer: t.request.Customer, virtualStart: q.virtualTime}
		q.customers[c.customer] = c
	}
	if len(c.waiting) == 0 {
		c.virtualStart = max(c.virtualStart, q.virtualTime)
	}
	i := len(c.waiting)
	for i > 0 && c.waiting[i-1].request.Priority < t.request.Priority {
		i--
	}
	c.waiting = append(c.waiting, nil)
	copy(c.waiting[i+1:], c.waiting[i:])
	c.waiting[i] = t
	q.length++
	q.tokens += t.request.Charge
}

// peek returns the ticket that is due next, or nil.
func (q *fairQueue) peek() *ticket {
	c := q.next()
	if c == nil {
		return nil
	}
	return c.waiting[0]
}

// next returns the customer with waiting requests and the earliest virtual start. Ties are
// broken by customer ID, so that the order is deterministic.
func (q *fairQueue) next() *customerQueue {
	var first *customerQueue
	for _, c := range q.customers {
		if len(c.waiting) == 0 {
			continue
		}
		if first == nil || c.virtualStart < first.virtualStart || (c.virtualStart == first.virtualStart && c.customer < first.customer) {
			first = c
		}
	}
	return first
}

// start removes a ticket whose request starts, and charges its customer.
func (q *fairQueue) start(t *ticket) {
	c := q.customers[t.request.Customer]
	q.remove(t)
	q.virtualTime = max(q.virtualTime, c.virtualStart)
	c.virtualStart += cost(t.request, t.request.Charge)
	c.running++
}

// remove removes a waiting ticket.
func (q *fairQueue) remove(t *ticket) {
	c := q.customers[t.request.Customer]
	if c == nil {
		return
	}
	for i, w := range c.waiting {
		if w == t {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			q.length--
			q.tokens -= t.request.Charge
			return
		}
	}
}

// end corrects a customer's virtual start by the tokens that a request actually used.
func (q *fairQueue) end(t *ticket, used knapweedpulley.Tokens) {
	c := q.customers[t.request.Customer]
	c.running--
	c.virtualStart += cost(t.request, used-t.request.Charge)
	if c.running == 0 && len(c.waiting) == 0 && c.virtualStart <= q.virtualTime {
		delete(q.customers, c.customer)
	}
	if q.length == 0 {
		q.removeIdle()
	}
}

// removeIdle removes customers without running or waiting requests once the queue is empty,
// so that tokens used while no other customer waited don't count against them.
func (q *fairQueue) removeIdle() {
	for id, c := range q.customers {
		if c.running == 0 && len(c.waiting) == 0 {
			delete(q.customers, id)
		}
	}
}

// tokensAhead returns the number of tokens that would run before a new request.
func (q *fairQueue) tokensAhead(r knapweedpulley.Request) knapweedpulley.Tokens {
	virtualDue := q.virtualTime
	own, known := q.customers[r.Customer]
	if known {
		virtualDue = max(virtualDue, own.virtualStart)
		for _, w := range own.waiting {
			virtualDue += cost(w.request, w.request.Charge)
		}
	}
	var tokens knapweedpulley.Tokens
	for _, c := range q.customers {
		virtualStart := c.virtualStart
		for _, w := range c.waiting {
			if c != own && virtualStart > virtualDue {
				break
			}
			tokens += w.request.Charge
			virtualStart += cost(w.request, w.request.Charge)
		}
	}
	return tokens
}

// all returns the waiting tickets.
func (q *fairQueue) all() []*ticket {
	list := make([]*ticket, 0, q.length)
	for _, c := range q.customers {
		list = append(list, c.waiting...)
	}
	return list
}

// cost returns how far n tokens advance the virtual start of the request's customer.
func cost(r knapweedpulley.Request, n knapweedpulley.Tokens) float64 {
	weight := float64(r.Weight)
	if weight <= 0 {
		weight = 1
	}
	return float64(n) / weight
}

// backlog returns the number of the customer's waiting requests divided by its weight.
func (c *customerQueue) backlog() float64 {
	if len(c.waiting) == 0 {
		return 0
	}
	return cost(c.waiting[0].request, knapweedpulley.Tokens(len(c.waiting)))
}
