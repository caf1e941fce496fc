package model

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets of the histogram.
	bucketCount = 36
	// bucketFactor is the ratio of the bounds of successive buckets.
	bucketFactor = 1.5
	// firstUpperBound is the upper bound of the first bucket.
	firstUpperBound = time.Second
	// halfLifeGaps is the number of further gaps after which the weight of a gap has
	// halved.
	halfLifeGaps = 64
)

// IdleHistogram is a histogram of the idle times (gaps) between a model's requests.
// Its buckets are logarithmic, and the weight of old gaps decays.
type IdleHistogram struct {
	counts [bucketCount]float64
	total  float64
}

// NewIdleHistogram returns an empty histogram.
func NewIdleHistogram() *IdleHistogram {
	return &IdleHistogram{}
}

// newPrior returns a histogram in which all buckets are equally likely.
func newPrior() *IdleHistogram {
	h := NewIdleHistogram()
	for i := range h.counts {
		h.counts[i] = 1
	}
	h.total = bucketCount
	return h
}

// Add records a gap.
func (h *IdleHistogram) Add(gap time.Duration) {
	decay := math.Exp2(-1.0 / halfLifeGaps)
	for i := range h.counts {
		h.counts[i] *= decay
	}
	h.total = h.total*decay + 1
	h.counts[bucketIndex(gap)]++
}

// blend returns the probability of each bucket in h, in which prior counts as much as
// weight gaps.
func (h *IdleHistogram) blend(prior *IdleHistogram, weight float64) [bucketCount]float64 {
	var shares [bucketCount]float64
	for i := range shares {
		shares[i] = (h.counts[i] + weight*prior.counts[i]/prior.total) / (h.total + weight)
	}
	return shares
}

// KeepAlive returns how long to hold an idle model: the time with the least expected
// cost, where a second of holding costs hold and a miss costs miss.
func (h *IdleHistogram) KeepAlive(prior *IdleHistogram, weight, hold, miss float64) time.Duration {
	shares := h.blend(prior, weight)
	best, least := time.Duration(0), miss
	expectedHold, remaining := 0.0, 1.0
	for i, p := range shares {
		expectedHold += p * hold * midpoint(i).Seconds()
		remaining -= p
		cost := expectedHold + remaining*(hold*upperBound(i).Seconds()+miss)
		if cost < least {
			best, least = upperBound(i), cost
		}
	}
	return best
}

// Probability returns the probability that a request arrives within horizon, given
// that the model has been idle for the time idle.
func (h *IdleHistogram) Probability(prior *IdleHistogram, weight float64, idle, horizon time.Duration) float64 {
	shares := h.blend(prior, weight)
	after, within := 0.0, 0.0
	for i, p := range shares {
		after += p * overlapShare(i, idle, math.MaxInt64)
		within += p * overlapShare(i, idle, idle+horizon)
	}
	if after <= 0 {
		return 0
	}
	return within / after
}

// overlapShare returns the fraction of bucket i that lies between from and to.
func overlapShare(i int, from, to time.Duration) float64 {
	low := time.Duration(0)
	if i > 0 {
		low = upperBound(i - 1)
	}
	high := upperBound(i)
	overlap := min(high, to) - max(low, from)
	if overlap <= 0 {
		return 0
	}
	return float64(overlap) / float64(high-low)
}

// upperBound returns the upper bound of bucket i.
func upperBound(i int) time.Duration {
	return time.Duration(float64(firstUpperBound) * math.Pow(bucketFactor, float64(i)))
}

// midpoint returns the geometric middle of bucket i, which represents its gaps.
func midpoint(i int) time.Duration {
	return time.Duration(float64(upperBound(i)) / math.Sqrt(bucketFactor))
}

func bucketIndex(gap time.Duration) int {
	if gap <= firstUpperBound {
		return 0
	}
	i := math.Ceil(math.Log(float64(gap)/float64(firstUpperBound)) / math.Log(bucketFactor))
	return min(int(i), bucketCount-1)
}
