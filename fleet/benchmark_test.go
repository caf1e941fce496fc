package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// BenchmarkChoose measures the choice among all endpoints of a plain service and among the holders of
// one of 965 models.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{30, 180, 1000} {
		list := benchmarkEndpoints(n)
		b.Run(fmt.Sprintf("%d endpoints without limits", n), func(b *testing.B) {
			f := fleet.New(machine.NewClock(), "home")
			f.Update(list)
			chooseRepeatedly(b, f)
		})
		b.Run(fmt.Sprintf("%d warm endpoints with limits", n), func(b *testing.B) {
			chooseRepeatedly(b, limitedFleet(list))
		})
		b.Run(fmt.Sprintf("%d cold endpoints", n), func(b *testing.B) {
			coldList := make([]knapweedpulley.RegisteredEndpoint, 0, n)
			for _, r := range list {
				r.ColdFor = time.Hour
				coldList = append(coldList, r)
			}
			chooseRepeatedly(b, limitedFleet(coldList))
		})
	}
}

// limitedFleet returns the fleet of one of 103 gateways, with limits of cold endpoints.
func limitedFleet(list []knapweedpulley.RegisteredEndpoint) *fleet.Fleet {
	members := make([]knapweedpulley.Member, 0, 103)
	for i := range 103 {
		members = append(members, knapweedpulley.Member{Entry: knapweedpulley.EntryID(fmt.Sprint("g", i))})
	}
	f := fleet.New(machine.NewClock(), "home")
	f.ShareWarmUp("g0", nil)
	f.SetGateways(members)
	f.ConfigureWarmUp(warmUpLimits())
	f.Update(list)
	return f
}

// benchmarkEndpoints returns endpoints of which each holds 20 of 965 models.
func benchmarkEndpoints(n int) []knapweedpulley.RegisteredEndpoint {
	list := make([]knapweedpulley.RegisteredEndpoint, 0, n)
	for i := range n {
		models := make([]knapweedpulley.ModelID, 0, 20)
		for k := range 20 {
			models = append(models, knapweedpulley.ModelID(fmt.Sprint("m", (20*i+k)%965)))
		}
		r := registration(knapweedpulley.EndpointID(fmt.Sprint("e", i)), knapweedpulley.ZoneID([]string{"home", "away"}[i%2]), models...)
		r.Address = fmt.Sprintf("10.0.%d.%d:1", i/250, 1+i%250)
		list = append(list, r)
	}
	return list
}

func chooseRepeatedly(b *testing.B, f *fleet.Fleet) {
	b.Helper()
	b.Run("plain", func(b *testing.B) {
		b.ReportAllocs()
		f.Tick()
		for b.Loop() {
			f.Choose(fleet.Requirements{Service: "llm"})
		}
	})
	b.Run("model", func(b *testing.B) {
		b.ReportAllocs()
		f.Tick()
		n := requirements("m7")
		for b.Loop() {
			f.Choose(n)
		}
	})
}
