package trial

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// killPeriod is the time between two kills of agents.
	killPeriod = 10 * time.Minute
	// killWaitLimit bounds how long a kill waits for a load in progress.
	killWaitLimit = 5 * time.Minute
	// agentRestartTime is the time until a killed agent runs again.
	agentRestartTime = 3 * time.Second
	// slowPeriod is the time between the starts of two slowdowns of the weight store,
	// and slowDuration is how long each lasts.
	slowPeriod   = time.Hour
	slowDuration = 10 * time.Minute
	// slowdownFactor divides the bandwidth and load rate of the weight store.
	slowdownFactor = 4
	// reclaimPeriod is the time between two reclaimed VMs, reclaimNotice is how long
	// before the end of a VM its agent is notified, and replacementTime is the time
	// until a replacement VM runs.
	reclaimPeriod   = 45 * time.Minute
	reclaimNotice   = 30 * time.Second
	replacementTime = 90 * time.Second
	// evictionDelay is the time until the members detect that one is dead, and
	// leaseLapseTime is the time until its lease has certainly expired.
	evictionDelay  = 3 * time.Second
	leaseLapseTime = 3 * time.Second
)

// injectFaults injects the faults of a plan and returns when all have ended.
func (w *simulation) injectFaults(ctx context.Context, p Plan) {
	done := make(chan struct{})
	begin := func(enabled bool, fault func()) {
		go func() {
			if enabled {
				fault()
			}
			done <- struct{}{}
		}()
	}
	faults := []struct {
		enabled bool
		fault   func()
	}{
		{p.Faults, func() { w.killAgents(ctx, p.Seed) }},
		{p.Faults, func() { w.slowWeightStore(ctx) }},
		{p.Faults, func() { w.reclaimVMs(ctx) }},
		{p.EntryDies, func() { w.killEntry(ctx, p.Length/2) }},
	}
	for _, f := range faults {
		begin(f.enabled, f.fault)
	}
	for range faults {
		<-done
	}
}

// killAgents periodically kills the agent of a server during a load.
func (w *simulation) killAgents(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // A fixed seed.
	for ctx.Err() == nil {
		sleep(ctx, killPeriod)
		v := w.waitForLoadingServer(ctx)
		if v == nil {
			continue
		}
		sleep(ctx, time.Duration(random.Int64N(int64(time.Second))))
		v.kill()
		sleep(ctx, agentRestartTime)
		v.restart()
	}
}

// waitForLoadingServer returns a server that is loading a model, or nil if none does so
// within killWaitLimit or before ctx ends.
func (w *simulation) waitForLoadingServer(ctx context.Context) *server {
	const pollInterval = 100 * time.Millisecond
	for waited := time.Duration(0); waited < killWaitLimit && ctx.Err() == nil; waited += pollInterval {
		for _, id := range w.serverIDs() {
			if v, ok := w.server(id); ok && v.isLoading() {
				return v
			}
		}
		sleep(ctx, pollInterval)
	}
	return nil
}

func (v *server) isLoading() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, u := range v.residents {
		if id.Adapter == "" && !u.loaded {
			return true
		}
	}
	return false
}

func (w *simulation) serverIDs() []knapweedpulley.EndpointID {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := make([]knapweedpulley.EndpointID, 0, len(w.servers))
	for id := range w.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// slowWeightStore slows the weight store for slowDuration in each slowPeriod.
func (w *simulation) slowWeightStore(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, slowPeriod/2)
		pace := w.pace
		pace.Bandwidth /= slowdownFactor
		pace.LoadsPerSecond /= slowdownFactor
		w.weights.SetPace(pace)
		sleep(ctx, slowDuration)
		w.weights.SetPace(w.pace)
		sleep(ctx, slowPeriod/2-slowDuration)
	}
}

// reclaimVMs reclaims a VM in each reclaimPeriod and starts a replacement.
func (w *simulation) reclaimVMs(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		sleep(ctx, reclaimPeriod)
		ids := w.serverIDs()
		if ctx.Err() != nil || len(ids) == 0 {
			return
		}
		v, _ := w.server(ids[0])
		v.drain()
		sleep(ctx, reclaimNotice)
		v.kill()
		w.removeServer(v)
		sleep(ctx, replacementTime)
		if ctx.Err() == nil {
			w.addServer(ctx, w.deployment.Servers+next, nil)
		}
	}
}

// removeServer removes a server from the simulation.
func (w *simulation) removeServer(v *server) {
	w.mu.Lock()
	delete(w.servers, v.id)
	w.gone.Add(v.id)
	w.mu.Unlock()
	w.collectIdleTime(v)
	w.mu.Lock()
	w.cleanups = append(w.cleanups, v.stop)
	w.mu.Unlock()
}

// killEntry kills an entry process; the other members detect this and evict it.
func (w *simulation) killEntry(ctx context.Context, at time.Duration) {
	sleep(ctx, at)
	if ctx.Err() != nil {
		return
	}
	id := w.entries[0].self.Entry
	w.registry.kill(id)
	sleep(ctx, evictionDelay)
	w.registry.evict(id)
	sleep(ctx, leaseLapseTime)
	w.registry.remove(id)
}
