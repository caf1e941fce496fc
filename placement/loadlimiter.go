package placement

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// loadRateFraction is the fraction of the operator's rate of loads from the weight store that
	// is used. The rest covers the burst that each gateway is allowed.
	loadRateFraction = 0.9
	// maxLoadBurst is the number of loads that a gateway may start at once.
	maxLoadBurst = 1
	// lapsedLoadFraction is the fraction of its part that a gateway uses whose permission has ended.
	// The operator allows so much beyond the rate.
	lapsedLoadFraction = 0.1
)

// loadLimiter limits the rate at which a gateway starts loads from the weight store, per service.
// All gateways have an equal part of the operator's rate.
type loadLimiter struct {
	permission knapweedpulley.Permission

	mu       sync.Mutex
	held     bool
	gateways int
	rates    map[knapweedpulley.ServiceID]float64
	limiters map[knapweedpulley.ServiceID]*rate.Limiter
}

func newLoadLimiter(gateways int, permission knapweedpulley.Permission) *loadLimiter {
	return &loadLimiter{
		permission: permission, held: true, gateways: max(1, gateways),
		limiters: make(map[knapweedpulley.ServiceID]*rate.Limiter),
	}
}

// configure applies the operator's rates. A service without a rate is not limited.
func (l *loadLimiter) configure(engines map[knapweedpulley.ServiceID]*knapweedpulley.EngineSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = make(map[knapweedpulley.ServiceID]float64, len(engines))
	for id, e := range engines {
		if e.LoadsPerSecond > 0 {
			l.rates[id] = e.LoadsPerSecond
		}
	}
	l.apply()
}

// setGatewayCount sets the number of gateways among which the rates are divided.
func (l *loadLimiter) setGatewayCount(gateways int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = max(1, gateways)
	l.apply()
}

// apply sets the limits of all services from their rates and the number of gateways.
func (l *loadLimiter) apply() {
	for id := range l.limiters {
		if _, bound := l.rates[id]; !bound {
			delete(l.limiters, id)
		}
	}
	fraction := loadRateFraction
	if !l.held {
		fraction *= lapsedLoadFraction
	}
	for id, r := range l.rates {
		limit := rate.Limit(r * fraction / float64(l.gateways))
		if limiter, known := l.limiters[id]; known {
			limiter.SetLimit(limit)
			continue
		}
		l.limiters[id] = rate.NewLimiter(limit, maxLoadBurst)
	}
}

// allow reports whether a load may start now, and counts it if so.
func (l *loadLimiter) allow(id knapweedpulley.ServiceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held := l.permission == nil || l.permission.Held(); held != l.held {
		l.held = held
		l.apply()
	}
	limiter, bound := l.limiters[id]
	return !bound || limiter.Allow()
}
