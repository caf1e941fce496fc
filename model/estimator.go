package model

import (
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Transfer speeds in bytes per second that are assumed until loads are observed.
const (
	initialMemorySpeed = float64(32 * knapweedpulley.GiB)
	initialDiskSpeed   = float64(8 * knapweedpulley.GiB)
	initialRemoteSpeed = float64(4 * knapweedpulley.GiB)
)

const (
	// observationWeight is the weight of a new observation in a moving average.
	observationWeight = 0.2
	// adapterLoadTime is the assumed duration of an adapter load.
	adapterLoadTime = 20 * time.Millisecond
)

// Estimator estimates the duration of loads from that of earlier loads.
type Estimator struct {
	mu sync.Mutex
	// secondsPerByte is the average load time of each tier.
	secondsPerByte map[knapweedpulley.CacheTier]float64
}

// NewEstimator returns an estimator that hasn't observed any load.
func NewEstimator() *Estimator {
	return &Estimator{secondsPerByte: map[knapweedpulley.CacheTier]float64{
		knapweedpulley.TierMemory: 1 / initialMemorySpeed,
		knapweedpulley.TierDisk:   1 / initialDiskSpeed,
		knapweedpulley.TierRemote: 1 / initialRemoteSpeed,
	}}
}

// Estimate returns the expected duration of a load of size bytes from a tier.
func (e *Estimator) Estimate(tier knapweedpulley.CacheTier, size knapweedpulley.Bytes) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.secondsPerByte[tier] * float64(size) * float64(time.Second))
}

// Observe adds the duration of a load to the moving average of its tier.
func (e *Estimator) Observe(tier knapweedpulley.CacheTier, size knapweedpulley.Bytes, took time.Duration) {
	if size <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.secondsPerByte[tier] += observationWeight * (took.Seconds()/float64(size) - e.secondsPerByte[tier])
}
