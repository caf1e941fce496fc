package burn

import (
	"maps"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// customerMinute has the counts of one customer at all entries in one minute, and the number of
// tokens that its contract allowed in that minute.
type customerMinute struct {
	minute  int64
	counts  Counts
	allowed float64
}

// timeline has the minutes of one customer that have counts, in order of time.
type timeline []customerMinute

// newTimeline merges the histories of a customer from all entries and computes the number of tokens
// that its contract allowed in each minute: the level of its token bucket at the start of the
// minute, plus the tokens of its rate. The token bucket holds the burst of the contract, and is
// assumed to be full at the beginning of the timeline.
func newTimeline(documents []Document, contract knapweedpulley.Contract) timeline {
	merged := make(map[int64]Counts)
	for _, d := range documents {
		for _, c := range d.Customers {
			if c.Customer != contract.Customer {
				continue
			}
			for _, b := range c.Buckets {
				sum := merged[b.Minute]
				sum.add(b.Counts)
				merged[b.Minute] = sum
			}
		}
	}
	t := make(timeline, 0, len(merged))
	burst := float64(contract.Burst)
	level := burst
	var last int64
	for _, m := range slices.Sorted(maps.Keys(merged)) {
		if last != 0 {
			idle := time.Duration(m-last-1) * bucketDuration
			level = min(burst, level+contract.Rate.Over(idle))
		}
		last = m
		allowed := level + contract.Rate.Over(bucketDuration)
		t = append(t, customerMinute{minute: m, counts: merged[m], allowed: allowed})
		level = min(burst, max(0, allowed-float64(merged[m].Served)))
	}
	return t
}

// ratioOver returns the events of an objective in the window that ends with the minute now.
func (t timeline) ratioOver(o Objective, window time.Duration, now int64) ratio {
	var r ratio
	oldest := now - int64(window/bucketDuration)
	for _, m := range t {
		if m.minute > oldest && m.minute <= now {
			r.add(o.measure(m.counts, m.allowed))
		}
	}
	return r
}
