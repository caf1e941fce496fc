package gateway

import (
	"sync"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// repeatRatio is the part of a service's requests that may be sent once
	// more. Operators allow a fifth over all gateways; some is left for what
	// the gateways don't count alike.
	repeatRatio = 0.12
	// reserveShare is the part of the operator's slack that is used, as a
	// window can begin with a full reserve and a gateway can start anew in it.
	reserveShare = 0.4
)

// Budget bounds how many requests are sent to a second endpoint.
type Budget struct {
	// slack is the operator's bound over all gateways.
	slack float64

	mu       sync.Mutex
	gateways int
	reserves map[knapweedpulley.ServiceID]float64
}

// NewBudget returns the budget of one of so many gateways.
func NewBudget(slack float64, gateways int) *Budget {
	return &Budget{slack: slack, gateways: gateways, reserves: make(map[knapweedpulley.ServiceID]float64)}
}

// Divide sets among how many gateways the budget is divided.
func (b *Budget) Divide(gateways int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(1, gateways)
}

// Earn counts a request's first send.
func (b *Budget) Earn(s knapweedpulley.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserves[s] = min(b.limit(), b.reserve(s)+repeatRatio)
}

// Spend reports whether one more send is allowed, and counts it if so.
func (b *Budget) Spend(s knapweedpulley.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.reserve(s)
	if left < 1 {
		return false
	}
	b.reserves[s] = left - 1
	return true
}

func (b *Budget) limit() float64 {
	return b.slack * reserveShare / float64(b.gateways)
}

func (b *Budget) reserve(s knapweedpulley.ServiceID) float64 {
	if left, known := b.reserves[s]; known {
		return left
	}
	return b.limit()
}
