package zone_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

func assertNearest(t *testing.T, d *zone.Distances, from knapweedpulley.ZoneID, want ...knapweedpulley.ZoneID) {
	t.Helper()
	is.New(t).Equal(d.Nearest(from, []knapweedpulley.ZoneID{"d", "c", "b", "a"}), want)
}

func TestNearest(t *testing.T) {
	d := zone.NewDistances([]zone.Distance{
		{From: "a", To: "b", RoundTrip: 2 * time.Millisecond},
		{From: "c", To: "a", RoundTrip: time.Millisecond},
	})
	t.Run("the zone itself comes first and zones at unknown distances last", func(t *testing.T) {
		assertNearest(t, d, "a", "a", "c", "b", "d")
	})
	t.Run("a distance applies in both directions", func(t *testing.T) {
		assertNearest(t, d, "b", "b", "a", "c", "d")
	})
}
