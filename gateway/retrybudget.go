package gateway

import (
	"sync"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// retryRatio is the number of retries that each request of a service adds to the budget.
	// Operators allow one fifth over all gateways; the rest is a margin for requests that
	// the gateways count differently.
	retryRatio = 0.12
	// slackFraction is the fraction of the operator's slack that is used. It is well below one
	// because an accounting window can begin with a full balance, and a gateway that restarts
	// within the window begins with a full balance again.
	slackFraction = 0.4
)

// RetryBudget limits how many requests are sent to a second endpoint. It keeps a balance of
// retries per service: each request adds to it, and each retry takes one from it.
type RetryBudget struct {
	// slack is the number of retries that the operator allows over all gateways in addition to
	// retryRatio.
	slack float64

	mu       sync.Mutex
	gateways int
	balances map[knapweedpulley.ServiceID]float64
}

// NewRetryBudget returns the budget of one gateway out of the given number. Each service starts
// with a full balance.
func NewRetryBudget(slack float64, gateways int) *RetryBudget {
	return &RetryBudget{slack: slack, gateways: gateways, balances: make(map[knapweedpulley.ServiceID]float64)}
}

// SetGatewayCount sets the number of gateways that share the operator's slack.
func (b *RetryBudget) SetGatewayCount(gateways int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(1, gateways)
}

// Deposit adds to the balance of a service for the first attempt of a request.
func (b *RetryBudget) Deposit(s knapweedpulley.ServiceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[s] = min(b.maxBalance(), b.balance(s)+retryRatio)
}

// TryWithdraw reports whether a retry is allowed, and takes it from the balance if so.
func (b *RetryBudget) TryWithdraw(s knapweedpulley.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.balance(s)
	if left < 1 {
		return false
	}
	b.balances[s] = left - 1
	return true
}

func (b *RetryBudget) maxBalance() float64 {
	return b.slack * slackFraction / float64(b.gateways)
}

func (b *RetryBudget) balance(s knapweedpulley.ServiceID) float64 {
	if left, known := b.balances[s]; known {
		return left
	}
	return b.maxBalance()
}
