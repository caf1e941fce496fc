package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

// evacuated returns a registration in an evacuated zone.
func evacuated(r knapweedpulley.RegisteredEndpoint) knapweedpulley.RegisteredEndpoint {
	r.Evacuated = true
	return r
}

// assertEvacuated asserts whether calls of the service are refused because all of its endpoints are in
// evacuated zones.
func assertEvacuated(t *testing.T, f *fleet.Fleet, want bool) {
	t.Helper()
	is := is.New(t)
	err := f.CheckEvacuation("llm")
	is.Equal(err != nil, want)
	if want {
		r := knapweedpulley.RefusalOf(err, "")
		is.Equal(r.Code, knapweedpulley.CodeEvacuated)
		is.Equal(r.Verdict, knapweedpulley.NotRun)
		is.True(r.RetryAfter > 0)
	}
}

// Guards against choices that name an endpoint of an evacuated zone, and against answers that are cut off there.
func TestEndpointInEvacuatedZone(t *testing.T) {
	inBubble("gets no requests until the zone is given back", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		a, b := registration("a", "home", "m"), registration("b", "away", "m")
		f.Update([]knapweedpulley.RegisteredEndpoint{a, b})
		before, changed := f.Endpoints()["a"], f.Changed()
		f.Update([]knapweedpulley.RegisteredEndpoint{evacuated(a), b})
		<-changed
		assertChoice(t, f, requirements("m"), "b")
		assertChoice(t, f, requirements(""), "b")
		is.Equal(len(f.Holders("llm", knapweedpulley.Resident{Model: "m"})), 1)
		is.Equal(len(f.Service("llm")), 1)
		is.True(!f.Offers(before, requirements("m")))
		is.Equal(f.Endpoints()["a"], before) // Its keeper's stream and its running requests go on.
		is.True(before.Evacuated())
		f.Update([]knapweedpulley.RegisteredEndpoint{a, b})
		is.True(!before.Evacuated())
		assertChoice(t, f, requirements("m"), "a")
	})
	inBubble("is not brought back by a report of its keeper", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{evacuated(registration("a", "home", "m"))})
		f.ApplyReport(f.Endpoints()["a"], knapweedpulley.EngineReport{Lifetime: reportLifetime, Start: 1, Models: loaded("m", "n")})
		assertChoice(t, f, requirements("m"), "")
		assertChoice(t, f, requirements("n"), "")
	})
	inBubble("is counted with the requests that still run there", t, func(t *testing.T, f *fleet.Fleet) {
		is := is.New(t)
		a, b := registration("a", "home", "m"), registration("b", "away", "m")
		f.Update([]knapweedpulley.RegisteredEndpoint{a, b})
		is.Equal(len(f.EvacuatedRequests()), 0)
		request, begun := f.Endpoints()["a"].BeginRequest(1)
		is.True(begun)
		f.Update([]knapweedpulley.RegisteredEndpoint{evacuated(a), b})
		is.Equal(f.EvacuatedRequests(), map[knapweedpulley.ZoneID]int{"home": 1})
		request.End(fleet.Answered)
		is.Equal(f.EvacuatedRequests(), map[knapweedpulley.ZoneID]int{"home": 0})
	})
}

// Guards against refusals although another zone could serve the call.
func TestCallsAreRefusedOnlyWhenAllEndpointsAreEvacuated(t *testing.T) {
	a, b := registration("a", "home", "m"), registration("b", "away", "m")
	b.Address = "10.0.0.2:1"
	inBubble("while another endpoint takes requests", t, func(t *testing.T, f *fleet.Fleet) {
		assertEvacuated(t, f, false)
		f.Update([]knapweedpulley.RegisteredEndpoint{evacuated(a), b})
		assertEvacuated(t, f, false)
		f.Update([]knapweedpulley.RegisteredEndpoint{evacuated(a), evacuated(b)})
		assertEvacuated(t, f, true)
		f.Update([]knapweedpulley.RegisteredEndpoint{a, evacuated(b)})
		assertEvacuated(t, f, false)
	})
	inBubble("or another one is unreachable for a moment", t, func(t *testing.T, f *fleet.Fleet) {
		f.Update([]knapweedpulley.RegisteredEndpoint{a, b})
		f.MarkUnreachable(f.Endpoints()["b"])
		f.Update([]knapweedpulley.RegisteredEndpoint{evacuated(a), b})
		assertEvacuated(t, f, false)
	})
	inBubble("but not if the others are leaving", t, func(t *testing.T, f *fleet.Fleet) {
		leaving := b
		leaving.Draining = true
		f.Update([]knapweedpulley.RegisteredEndpoint{evacuated(a), leaving})
		assertEvacuated(t, f, true)
	})
	inBubble("and a service whose endpoints are only leaving isn't evacuated", t, func(t *testing.T, f *fleet.Fleet) {
		leaving := evacuated(a)
		leaving.Draining = true
		f.Update([]knapweedpulley.RegisteredEndpoint{leaving})
		assertEvacuated(t, f, false)
	})
}
