package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// The streams of draws that don't depend on each other. A seed that has failed needs its streams.
const (
	seriesStream  = 1 << 32
	endlessStream = 1 << 33
	mergeStream   = 1 << 34
	orderStream   = 1 << 35
	// evacuationStream draws the evacuations of a zone.
	evacuationStream = 1 << 36
	// leavingStream draws the endpoints that leave behind silent connections.
	leavingStream = 1 << 37
)

// Injector injects random faults into a cluster, several at a time.
type Injector struct {
	cluster *Cluster
	random  *rand.Rand
	// seriesRandom draws the series of faults, endlessRandom the endpoints that send without end,
	// mergeRandom the mergers of customers, orderRandom the late orders, evacuationRandom the
	// evacuations and leavingRandom the endpoints that leave behind silent connections. The draws of
	// random do not depend on them, so that the regression seeds keep their faults.
	seriesRandom, endlessRandom, mergeRandom, orderRandom, evacuationRandom, leavingRandom *rand.Rand

	mu     sync.Mutex
	counts map[string]int
	// outcomes are those of the requests that belong to faults.
	outcomes []Outcome
	// active counts the faults that have not ended.
	active sync.WaitGroup
	// busySubjects are the targets of faults that have not ended.
	busySubjects map[any]bool
}

// NewInjector returns an injector that draws single faults from random, and all others from streams
// of the seed.
func NewInjector(cluster *Cluster, random *rand.Rand, seed uint64) *Injector {
	source := func(stream uint64) *rand.Rand {
		return rand.New(rand.NewPCG(seed, stream)) //nolint:gosec // It needs no secrecy.
	}
	return &Injector{
		cluster: cluster, random: random, seriesRandom: source(seriesStream), endlessRandom: source(endlessStream),
		mergeRandom: source(mergeStream), orderRandom: source(orderStream), evacuationRandom: source(evacuationStream),
		leavingRandom: source(leavingStream),
		counts:        make(map[string]int), busySubjects: make(map[any]bool),
	}
}

// Outcomes returns the outcomes of the requests that belong to faults.
func (i *Injector) Outcomes() []Outcome {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.outcomes)
}

// Counts returns the number of injected faults of each kind.
func (i *Injector) Counts() map[string]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := make(map[string]int, len(i.counts))
	for kind, n := range i.counts {
		counts[kind] = n
	}
	return counts
}

// Run injects faults until ctx ends, and then waits until all faults have ended.
func (i *Injector) Run(ctx context.Context) {
	actions := []func(){
		i.disturbProxy, i.disturbProxy, i.disturbProxy, i.resetProxy, i.disturbGateway, i.disturbGateway, i.disturbKeeper,
		i.crashEndpoint, i.drainEndpoint, i.changeConfiguration, i.withdrawKey, i.failStore, i.compactStore,
	}
	i.active.Go(func() { i.runSeries(ctx) })
	i.active.Go(func() { i.runEndless(ctx) })
	i.active.Go(func() { i.mergeCustomers(ctx) })
	i.active.Go(func() { i.evacuateZone(ctx) })
	i.active.Go(func() { i.leaveBehindSilence(ctx, i.leavingRandom) })
	i.active.Go(func() {
		for ctx.Err() == nil {
			i.lateOrders(i.orderRandom)
			time.Sleep(time.Duration(300+i.orderRandom.IntN(900)) * time.Millisecond)
		}
	})
	for ctx.Err() == nil {
		// Start up to three faults at once.
		for range 1 + i.random.IntN(3) {
			actions[i.random.IntN(len(actions))]()
		}
		time.Sleep(time.Duration(200+i.random.IntN(900)) * time.Millisecond)
	}
	i.active.Wait()
}

// inject counts a fault and runs it concurrently with others. It does nothing if another
// fault of the same subject has not ended.
func (i *Injector) inject(kind string, subject any, fault func() error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busySubjects[subject] {
		return
	}
	i.busySubjects[subject] = true
	i.counts[kind]++
	i.active.Go(func() {
		if err := fault(); err != nil {
			i.cluster.recorder.RecordViolation("failed to inject the fault %s: %v", kind, err)
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.busySubjects, subject)
	})
}

// minFaultDuration is the shortest duration that randomDuration draws.
const minFaultDuration = 300 * time.Millisecond

// randomDuration draws the duration of a fault, from minFaultDuration to below maximum.
func (i *Injector) randomDuration(maximum time.Duration) time.Duration {
	return minFaultDuration + time.Duration(i.random.Int64N(int64(maximum-minFaultDuration)))
}

func (i *Injector) proxies() []*Proxy {
	var list []*Proxy
	for _, g := range i.cluster.gateways {
		list = append(list, g.storeProxy)
	}
	for _, s := range i.cluster.backends {
		list = append(list, s.proxy)
		if s.linkProxy != nil {
			list = append(list, s.linkProxy)
		}
	}
	return list
}

func (i *Injector) disturbProxy() {
	list := i.proxies()
	p, m, d := list[i.random.IntN(len(list))], Mode(1+i.random.IntN(int(modeCount)-1)), i.randomDuration(3*time.Second)
	i.inject("proxy "+m.String(), p, func() error {
		p.SetMode(m)
		time.Sleep(d)
		p.SetMode(Pass)
		return nil
	})
}

func (i *Injector) resetProxy() {
	list := i.proxies()
	p := list[i.random.IntN(len(list))]
	i.inject("proxy reset", p, func() error {
		p.Reset()
		return nil
	})
}

func (i *Injector) disturbGateway() {
	g := i.cluster.gateways[i.random.IntN(len(i.cluster.gateways))]
	i.disturbProcess("gateway", g.Process)
}

func (i *Injector) disturbKeeper() {
	s := i.cluster.backends[i.random.IntN(engineCount)]
	i.disturbProcess("keeper", s.keeper)
}

func (i *Injector) disturbProcess(role string, p *Process) {
	d := i.randomDuration(4 * time.Second)
	switch i.random.IntN(3) {
	case 0:
		i.inject(role+" paused", p, func() error {
			err := p.Signal(syscall.SIGSTOP)
			time.Sleep(d)
			return errors.CombineErrors(err, p.Signal(syscall.SIGCONT))
		})
	case 1:
		i.inject(role+" killed", p, func() error {
			err := p.Signal(syscall.SIGKILL)
			<-p.Ended()
			time.Sleep(d / 4)
			return errors.CombineErrors(err, p.Start())
		})
	default:
		i.inject(role+" stopped", p, func() error {
			return i.restart(p, func() error { return nil })
		})
	}
}

// restart terminates a process, calls meanwhile, and starts the process again after its end.
func (i *Injector) restart(p *Process, meanwhile func() error) error {
	err := errors.CombineErrors(p.Signal(syscall.SIGTERM), meanwhile())
	select {
	case <-p.Ended():
	case <-time.After(gracePeriod):
		i.cluster.recorder.RecordViolation("%s is still running %s after SIGTERM", p.name, gracePeriod)
		p.Kill()
	}
	return errors.CombineErrors(err, p.Start())
}

func (i *Injector) crashEndpoint() {
	s := i.cluster.backends[i.random.IntN(len(i.cluster.backends))]
	d := i.randomDuration(2500 * time.Millisecond)
	i.inject("endpoint crashed", s, func() error {
		if err := s.Crash(); err != nil {
			return err
		}
		time.Sleep(d)
		return s.Start()
	})
}

// drainEndpoint drains an endpoint, ends it 3 s later and starts a new instance.
func (i *Injector) drainEndpoint() {
	s := i.cluster.backends[i.random.IntN(len(i.cluster.backends))]
	i.inject("endpoint leaves", s, func() error {
		if err := s.Drain(); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
		if err := s.Crash(); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond)
		return s.Start()
	})
}

func (i *Injector) changeConfiguration() {
	i.inject("configuration", fmt.Sprint("configuration ", i.random.Uint64()), i.cluster.WriteConfiguration)
}

func (i *Injector) withdrawKey() {
	i.inject("key taken away", fmt.Sprint("key ", i.random.Uint64()), i.cluster.WithdrawKey)
}

func (i *Injector) failStore() {
	d := i.randomDuration(2500 * time.Millisecond)
	i.inject("store fails", i.cluster.store, func() error {
		i.cluster.SetStoreFailing(true)
		time.Sleep(d)
		i.cluster.SetStoreFailing(false)
		return nil
	})
}

func (i *Injector) compactStore() {
	i.inject("store forgets its history", "history", func() error {
		i.cluster.store.objects.Compact()
		return nil
	})
}
