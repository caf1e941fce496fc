package zone

import (
	"slices"
	"strings"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// unknownRoundTrip is assumed between zones whose distance isn't given. It is
// longer than between zones of one region, so that zones at a known distance are
// preferred.
const unknownRoundTrip = 50 * time.Millisecond

// Distance is the round trip time between two zones, in either direction.
type Distance struct {
	From      knapweedpulley.ZoneID
	To        knapweedpulley.ZoneID
	RoundTrip time.Duration
}

// pair is an unordered pair of zones, the lower id first.
type pair struct {
	low  knapweedpulley.ZoneID
	high knapweedpulley.ZoneID
}

func newPair(a, b knapweedpulley.ZoneID) pair {
	if b < a {
		a, b = b, a
	}
	return pair{low: a, high: b}
}

// Distances holds the distances between zones. It is immutable.
type Distances struct {
	roundTrips map[pair]time.Duration
}

// NewDistances returns the distances in list. A later entry for the same pair
// of zones replaces an earlier one.
func NewDistances(list []Distance) *Distances {
	d := &Distances{roundTrips: make(map[pair]time.Duration, len(list))}
	for _, distance := range list {
		d.roundTrips[newPair(distance.From, distance.To)] = distance.RoundTrip
	}
	return d
}

// Between returns the round trip time between two zones, zero within one zone.
func (d *Distances) Between(a, b knapweedpulley.ZoneID) time.Duration {
	if a == b {
		return 0
	}
	if t, ok := d.roundTrips[newPair(a, b)]; ok {
		return t
	}
	return unknownRoundTrip
}

// Compare orders two zones by their distance from a third, and by id if they
// are equally far.
func (d *Distances) Compare(from, a, b knapweedpulley.ZoneID) int {
	if t, u := d.Between(from, a), d.Between(from, b); t != u {
		if t < u {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a), string(b))
}

// Nearest returns zones ordered by their distance from a zone.
func (d *Distances) Nearest(from knapweedpulley.ZoneID, zones []knapweedpulley.ZoneID) []knapweedpulley.ZoneID {
	order := slices.Clone(zones)
	slices.SortFunc(order, func(a, b knapweedpulley.ZoneID) int { return d.Compare(from, a, b) })
	return order
}
