package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

func newFleet(statuses ...knapweedpulley.EndpointStatus) *endpoint.Fleet {
	f := endpoint.NewFleet("a", zone.NewDistances([]zone.Distance{{From: "a", To: "b", RoundTrip: time.Millisecond}}))
	for _, s := range statuses {
		f.Update(s)
	}
	return f
}

func status(id knapweedpulley.EndpointID, z knapweedpulley.ZoneID, slots int) knapweedpulley.EndpointStatus {
	return knapweedpulley.EndpointStatus{
		Endpoint: id, Zone: z, Machine: knapweedpulley.MachineID("vm-" + id), Incarnation: 1,
		Engine: knapweedpulley.EngineState{Slots: slots, Models: []knapweedpulley.LoadedModel{{
			Model: "m", State: knapweedpulley.StateLoaded,
			Adapters: []knapweedpulley.LoadedAdapter{{Adapter: "x", State: knapweedpulley.StateLoaded}},
		}}},
	}
}

func chat() *knapweedpulley.Request {
	return &knapweedpulley.Request{Kind: knapweedpulley.KindChat, Model: "m"}
}

func assertChosen(
	t *testing.T, f *endpoint.Fleet, r *knapweedpulley.Request, want knapweedpulley.EndpointID,
	avoid ...knapweedpulley.EndpointID,
) {
	t.Helper()
	got, ok := f.Choose(r, knapweedpulley.NewSet(avoid...))
	is := is.New(t)
	is.Equal(got, want)
	is.Equal(ok, want != "")
}

func TestChoose(t *testing.T) {
	t.Run("the nearest zone is preferred", func(t *testing.T) {
		assertChosen(t, newFleet(status("far", "b", 4), status("near", "a", 4)), chat(), "near")
	})
	t.Run("requests spill to the next zone while those in flight fill the nearest", func(t *testing.T) {
		f := newFleet(status("far", "b", 4), status("near", "a", 1))
		assertChosen(t, f, chat(), "near")
		assertChosen(t, f, chat(), "far")
		f.Done(chat(), "near")
		assertChosen(t, f, chat(), "near")
	})
	t.Run("a request goes to a full endpoint if no other is left", func(t *testing.T) {
		f := newFleet(status("near", "a", 1))
		assertChosen(t, f, chat(), "near")
		assertChosen(t, f, chat(), "near")
	})
	t.Run("avoided, draining, leaving and removed endpoints get no requests", func(t *testing.T) {
		draining := status("e", "a", 4)
		draining.Draining = true
		assertChosen(t, newFleet(draining), chat(), "")
		f := newFleet(status("e", "a", 4))
		assertChosen(t, f, chat(), "", "e")
		f.SetLeaving(knapweedpulley.NewSet[knapweedpulley.MachineID]("vm-e"))
		assertChosen(t, f, chat(), "")
		f.Update(status("e", "a", 4))
		assertChosen(t, f, chat(), "")
		f.SetLeaving(nil)
		assertChosen(t, f, chat(), "e")
		f.Remove("e")
		assertChosen(t, f, chat(), "")
	})
	t.Run("the report of an earlier incarnation is ignored", func(t *testing.T) {
		restarted := status("e", "a", 4)
		restarted.Incarnation, restarted.Engine.Models = 2, nil
		assertChosen(t, newFleet(restarted, status("e", "a", 4)), chat(), "")
	})
	t.Run("a request for an adapter or a route goes only to an endpoint that offers it", func(t *testing.T) {
		bare := status("bare", "a", 4)
		bare.Engine.Models[0].Adapters = nil
		service := knapweedpulley.EndpointStatus{Endpoint: "s", Zone: "b", Routes: []knapweedpulley.RouteID{"returns"}}
		f := newFleet(bare, status("e", "b", 4), service)
		adapter := chat()
		adapter.Adapter = knapweedpulley.Some[knapweedpulley.AdapterID]("x")
		assertChosen(t, f, adapter, "e")
		assertChosen(t, f, &knapweedpulley.Request{Kind: knapweedpulley.KindService, Route: "returns"}, "s")
	})
}

func TestAffinity(t *testing.T) {
	var list []knapweedpulley.EndpointStatus
	for i := range 20 {
		list = append(list, status(knapweedpulley.EndpointID(fmt.Sprint("e", i)), "a", 8))
	}
	r := chat()
	r.Prefix = 12345 << 48
	f := newFleet(list...)
	home, _ := f.Choose(r, nil)
	t.Run("requests with the same prefix go to the same endpoint while it has free slots", func(t *testing.T) {
		assertChosen(t, f, r, home)
	})
	t.Run("requests with a prefix leave an endpoint that is full", func(t *testing.T) {
		busy := status(home, "a", 8)
		busy.Running = 8
		f.Update(busy)
		got, _ := f.Choose(r, nil)
		is.New(t).True(got != home)
	})
	t.Run("entries in different zones send an isolated request to the same endpoint", func(t *testing.T) {
		r := chat()
		r.Isolated, r.Fingerprint = true, 99<<56
		list[3].Zone = "b"
		other := endpoint.NewFleet("b", zone.NewDistances(nil))
		for _, s := range list {
			other.Update(s)
		}
		want, _ := newFleet(list...).Choose(r, nil)
		assertChosen(t, other, r, want)
	})
}
