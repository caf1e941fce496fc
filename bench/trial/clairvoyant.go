package trial

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// requestSchedule holds the arrival times of the requests for each model.
type requestSchedule struct {
	start time.Time
	times map[knapweedpulley.ModelID][]time.Duration
}

func newRequestSchedule(start time.Time, list []arrival) *requestSchedule {
	s := &requestSchedule{start: start, times: make(map[knapweedpulley.ModelID][]time.Duration)}
	for i := range list {
		s.times[list[i].model] = append(s.times[list[i].model], list[i].at)
	}
	return s
}

// timeUntilNext returns the time until the next request for a model.
func (s *requestSchedule) timeUntilNext(model knapweedpulley.ModelID, now knapweedpulley.Instant) time.Duration {
	const never = 1000 * time.Hour
	at := time.Duration(int64(now) - s.start.UnixNano())
	times := s.times[model]
	i := sort.Search(len(times), func(i int) bool { return times[i] >= at })
	if i == len(times) {
		return never
	}
	return times[i] - at
}

// clairvoyant is the eviction policy with full knowledge of the arrivals: it holds
// a model over exactly the gaps in which that costs less than a load, and evicts
// the models whose next request is furthest in the future.
type clairvoyant struct {
	*baseline

	schedule *requestSchedule
	// price is how many accelerator seconds one second of waiting is worth.
	price float64
}

func newClairvoyant(schedule *requestSchedule, price float64) *clairvoyant {
	return &clairvoyant{baseline: newBaseline(0), schedule: schedule, price: price}
}

// Expired implements knapweedpulley.EvictionPolicy.
func (c *clairvoyant) Expired(
	held knapweedpulley.Set[knapweedpulley.Resident], now knapweedpulley.Instant,
) ([]knapweedpulley.Resident, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []knapweedpulley.Resident
	for _, u := range c.idle(held) {
		hold := c.schedule.timeUntilNext(u.id.Model, now).Seconds() * float64(u.size) / float64(engineMemory)
		if u.id.Adapter == "" && hold > c.price*u.loadTime.Seconds() {
			list = append(list, u.id)
		}
	}
	return list, time.Second
}

// EvictionCandidates implements knapweedpulley.EvictionPolicy.
func (c *clairvoyant) EvictionCandidates(
	need knapweedpulley.Bytes, held knapweedpulley.Set[knapweedpulley.Resident], now knapweedpulley.Instant,
) []knapweedpulley.Resident {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle(held)
	slices.SortStableFunc(idle, func(a, b *residentUsage) int {
		return cmp.Compare(c.schedule.timeUntilNext(b.id.Model, now), c.schedule.timeUntilNext(a.id.Model, now))
	})
	return selectVictims(idle, need)
}
