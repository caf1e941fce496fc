package trial

import (
	"context"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// serve runs a request: it waits for a slot and occupies it for the service time.
func (v *server) serve(ctx context.Context, a *arrival) error {
	ids := []knapweedpulley.Resident{{Model: a.model}}
	if adapter, ok := a.adapter.Get(); ok {
		ids = append(ids, knapweedpulley.Resident{Model: a.model, Adapter: adapter})
	}
	lifetime, err := v.admit(ids)
	if err != nil {
		return err
	}
	defer v.finish(ids)
	select {
	case v.slots <- struct{}{}:
		defer func() { <-v.slots }()
	case <-lifetime.Done():
		return errConnectionReset
	case <-ctx.Done():
		return knapweedpulley.NewRefusal(
			knapweedpulley.CodeDeadlineExceeded, knapweedpulley.NotRun, "no free slot on %s before the deadline", v.id)
	}
	timer := time.NewTimer(a.serviceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-lifetime.Done():
		return errConnectionReset
	case <-ctx.Done():
		return ctx.Err()
	}
}

// admit counts a request as running, or refuses it if a resident that it needs isn't loaded.
func (v *server) admit(ids []knapweedpulley.Resident) (context.Context, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lifetime.Err() != nil {
		return nil, errConnectionReset
	}
	for _, id := range ids {
		if u, ok := v.residents[id]; !ok || !u.loaded {
			return nil, knapweedpulley.NewRefusal(
				knapweedpulley.CodeModelNotFound, knapweedpulley.NotRun, "%s isn't loaded on %s", id.Model, v.id)
		}
	}
	for _, id := range ids {
		u := v.residents[id]
		v.addIdleTime(u)
		u.running++
		v.evictionPolicy.RequestArrived(id, now())
	}
	v.activeRequests++
	return v.lifetime, nil
}

func (v *server) finish(ids []knapweedpulley.Resident) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.activeRequests--
	for _, id := range ids {
		v.evictionPolicy.RequestEnded(id, now())
		if u, ok := v.residents[id]; ok {
			u.running--
			u.since = time.Now()
		}
	}
}

// status returns what the agent reports.
func (v *server) status() knapweedpulley.EndpointStatus {
	state, _ := v.engine.State()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := knapweedpulley.EndpointStatus{
		Endpoint: v.id, Machine: knapweedpulley.MachineID(v.id), Zone: v.zone, Draining: v.draining,
		FreeMemory: v.freeMemory, Running: v.activeRequests,
		Engine: knapweedpulley.EngineState{Memory: engineMemory, Slots: engineSlots},
	}
	for _, m := range state.Models {
		loaded := knapweedpulley.LoadedModel{Model: m.Model, Size: m.Size, State: v.reportedState(m.Model, "", m.State)}
		for _, a := range m.Adapters {
			loaded.Adapters = append(loaded.Adapters, knapweedpulley.LoadedAdapter{
				Adapter: a.Adapter, Size: a.Size, State: v.reportedState(m.Model, a.Adapter, a.State),
			})
		}
		s.Engine.Models = append(s.Engine.Models, loaded)
	}
	for _, c := range state.Cached {
		s.Engine.Cached = append(s.Engine.Cached, knapweedpulley.CachedCheckpoint{Model: c.Model, Tier: c.Tier})
	}
	return s
}

// reportedState corrects the engine's state of a resident that the agent is about to
// unload or whose load it hasn't yet seen complete. The caller holds the lock.
func (v *server) reportedState(
	model knapweedpulley.ModelID, adapter knapweedpulley.AdapterID, state knapweedpulley.LoadState,
) knapweedpulley.LoadState {
	u, ok := v.residents[knapweedpulley.Resident{Model: model, Adapter: adapter}]
	switch {
	case !ok:
		return knapweedpulley.StateUnloading
	case !u.loaded && state == knapweedpulley.StateLoaded:
		return knapweedpulley.StateLoading
	default:
		return state
	}
}
