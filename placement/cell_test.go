package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
)

// newEngines returns n engines, distributed over the zones in turn.
func newEngines(n int, zones ...knapweedpulley.ZoneID) []*fleet.Endpoint {
	f := fleet.New(fake.Clock{}, zones[0])
	list := make([]knapweedpulley.RegisteredEndpoint, 0, n)
	for i := range n {
		list = append(list, knapweedpulley.RegisteredEndpoint{
			ID: knapweedpulley.EndpointID(fmt.Sprintf("i-%d", i)), Service: "llm", Zone: zones[i%len(zones)], Start: 1,
		})
	}
	f.Update(list)
	return f.Service("llm")
}

// countConnections returns the number of gateways that connect to the keeper of each engine.
func countConnections(all []*fleet.Endpoint, gateways int, zones ...knapweedpulley.ZoneID) map[knapweedpulley.EndpointID]int {
	counts := make(map[knapweedpulley.EndpointID]int)
	for i := range gateways {
		self := knapweedpulley.Member{
			Entry: knapweedpulley.EntryID(fmt.Sprintf("front-%d", i)), Zone: zones[i%len(zones)],
		}
		for id := range newCellSelector(self).selectEngines(all) {
			counts[id]++
		}
	}
	return counts
}

func assertAtMost(t *testing.T, n, limit int) {
	t.Helper()
	is.New(t).True(n <= limit)
}

func TestCellSelector(t *testing.T) {
	zones := []knapweedpulley.ZoneID{"a", "b", "c", "d"}
	self := knapweedpulley.Member{Entry: "front-1", Zone: "a"}
	t.Run("in a small fleet a gateway connects to all keepers", func(t *testing.T) {
		is.New(t).Equal(len(newCellSelector(self).selectEngines(newEngines(cellSize, zones...))), cellSize)
	})
	t.Run("in a larger fleet a gateway connects to the keepers of its zone and the registrars", func(t *testing.T) {
		is := is.New(t)
		all := newEngines(200, zones...)
		chosen := newCellSelector(self).selectEngines(all)
		far := 0
		for _, e := range all {
			if e.Registration().Zone == self.Zone {
				is.True(chosen.Has(e.ID()))
			} else if chosen.Has(e.ID()) {
				far++
			}
		}
		assertAtMost(t, far, registrarCount)
	})
	t.Run("the number of keepers per gateway stays bounded as the fleet grows", func(t *testing.T) {
		for _, n := range []int{500, 2000, 10_000} {
			// The sizes of cells vary because engines are assigned by a hash.
			assertAtMost(t, len(newCellSelector(self).selectEngines(newEngines(n, zones...))), 2*cellSize)
		}
	})
	t.Run("all gateways select the same registrars", func(t *testing.T) {
		is := is.New(t)
		everywhere := 0
		for _, n := range countConnections(newEngines(200, zones...), 100, zones...) {
			if n == 100 {
				everywhere++
			}
		}
		is.Equal(everywhere, registrarCount)
	})
	t.Run("only a fraction of the gateways connects to a keeper that is no registrar", func(t *testing.T) {
		is := is.New(t)
		all := newEngines(2000, zones...)
		counts := countConnections(all, 800, zones...)
		for _, r := range selectRegistrars(all) {
			is.Equal(counts[r.id], 800)
			delete(counts, r.id)
		}
		for _, n := range counts {
			assertAtMost(t, n, 60) // 800 gateways in 4 zones of 8 cells are 25 per cell.
		}
	})
	t.Run("engines that restart don't change the number of cells", func(t *testing.T) {
		is := is.New(t)
		is.Equal(cellCount(64, 1), uint64(1))
		is.Equal(cellCount(65, 1), uint64(2))
		is.Equal(cellCount(60, 2), uint64(2))
		is.Equal(cellCount(40, 2), uint64(1))
		is.Equal(cellCount(0, 3), uint64(1))
	})
	t.Run("a gateway in a zone without engines connects to keepers of other zones", func(t *testing.T) {
		is.New(t).True(len(newCellSelector(knapweedpulley.Member{Entry: "front-1", Zone: "none"}).selectEngines(newEngines(200, zones...))) > registrarCount)
	})
}
