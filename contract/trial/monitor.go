package trial

import (
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// excessTolerance is the rounding error, in tokens, that a monitor tolerates.
const excessTolerance = 1e-3

// Monitor checks all charges of one customer against its contract. The charges in any window of
// time may add up to at most the burst plus the tokens that the rate yields in the window. This
// is exactly the bound of a single token bucket for all entry processes.
type Monitor struct {
	mu       sync.Mutex
	contract knapweedpulley.Contract
	level    float64
	updated  time.Time
	charged  float64
	// excess is the largest number of tokens charged beyond the bound.
	excess float64
}

// NewMonitor returns a monitor of a contract, whose bucket is full.
func NewMonitor(c knapweedpulley.Contract) *Monitor {
	return &Monitor{contract: c, level: float64(c.Burst), updated: time.Now()}
}

// Allow reports whether a single bucket for the whole contract allows a charge of n tokens now.
// If so, it takes the tokens.
func (m *Monitor) Allow(n knapweedpulley.Tokens) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	if m.level < float64(n) {
		return false
	}
	m.level -= float64(n)
	return true
}

// Record records a charge of n tokens that an entry process has allowed.
func (m *Monitor) Record(n knapweedpulley.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.level -= float64(n)
	m.charged += float64(n)
	m.excess = max(m.excess, -m.level-excessTolerance)
}

// TotalCharged returns the sum of the recorded charges in tokens.
func (m *Monitor) TotalCharged() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.charged
}

// Excess returns the largest number of tokens that was charged beyond the contract in any window.
func (m *Monitor) Excess() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.excess
}

// advance adds the tokens that have accrued since the last call.
func (m *Monitor) advance() {
	now := time.Now()
	m.level = min(float64(m.contract.Burst), m.level+m.contract.Rate.Over(now.Sub(m.updated)))
	m.updated = now
}

// raiseContract replaces the contract with a larger one.
func (m *Monitor) raiseContract(c knapweedpulley.Contract) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.contract = c
}
