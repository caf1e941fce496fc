package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Injector injects faults, several at a time.
type Injector struct {
	world  *World
	random *rand.Rand

	mu     sync.Mutex
	counts map[string]int
	// open are the faults that have not ended.
	open sync.WaitGroup
	// busy are the processes and endpoints that a fault is about.
	busy map[any]bool
}

// NewInjector returns an injector that is decided by random.
func NewInjector(w *World, random *rand.Rand) *Injector {
	return &Injector{world: w, random: random, counts: make(map[string]int), busy: make(map[any]bool)}
}

// Counts returns how many faults of each kind were injected.
func (i *Injector) Counts() map[string]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := make(map[string]int, len(i.counts))
	for kind, n := range i.counts {
		counts[kind] = n
	}
	return counts
}

// Run injects faults until ctx ends, and waits until all have ended.
func (i *Injector) Run(ctx context.Context) {
	actions := []func(){
		i.proxyFault, i.proxyFault, i.proxyFault, i.proxyReset, i.gatewayFault, i.gatewayFault, i.keeperFault,
		i.endpointCrash, i.endpointLeaves, i.configure, i.revoke, i.storeFault, i.storeForgets,
	}
	for ctx.Err() == nil {
		// Some faults come in quick succession.
		for range 1 + i.random.IntN(3) {
			actions[i.random.IntN(len(actions))]()
		}
		time.Sleep(time.Duration(200+i.random.IntN(900)) * time.Millisecond)
	}
	i.open.Wait()
}

// inject counts a fault and runs it beside others, unless its subject has one.
func (i *Injector) inject(kind string, subject any, fault func() error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[subject] {
		return
	}
	i.busy[subject] = true
	i.counts[kind]++
	i.open.Go(func() {
		if err := fault(); err != nil {
			i.world.records.Fault("the soak failed to inject %s: %v", kind, err)
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.busy, subject)
	})
}

// leastFault is the shortest time of a fault.
const leastFault = 300 * time.Millisecond

// upTo draws the time of a fault.
func (i *Injector) upTo(most time.Duration) time.Duration {
	return leastFault + time.Duration(i.random.Int64N(int64(most-leastFault)))
}

func (i *Injector) proxies() []*Proxy {
	var list []*Proxy
	for _, g := range i.world.gateways {
		list = append(list, g.store)
	}
	for _, s := range i.world.servers {
		list = append(list, s.proxy)
		if s.link != nil {
			list = append(list, s.link)
		}
	}
	return list
}

func (i *Injector) proxyFault() {
	list := i.proxies()
	p, m, d := list[i.random.IntN(len(list))], Mode(1+i.random.IntN(int(modes)-1)), i.upTo(3*time.Second)
	i.inject("proxy "+m.String(), p, func() error {
		p.Set(m)
		time.Sleep(d)
		p.Set(Pass)
		return nil
	})
}

func (i *Injector) proxyReset() {
	list := i.proxies()
	p := list[i.random.IntN(len(list))]
	i.inject("proxy reset", p, func() error {
		p.Reset()
		return nil
	})
}

func (i *Injector) gatewayFault() {
	g := i.world.gateways[i.random.IntN(len(i.world.gateways))]
	i.processFault("gateway", g.Process)
}

func (i *Injector) keeperFault() {
	s := i.world.servers[i.random.IntN(engines)]
	i.processFault("keeper", s.keeper)
}

func (i *Injector) processFault(what string, p *Process) {
	d := i.upTo(4 * time.Second)
	switch i.random.IntN(3) {
	case 0:
		i.inject(what+" paused", p, func() error {
			err := p.Signal(syscall.SIGSTOP)
			time.Sleep(d)
			return errors.CombineErrors(err, p.Signal(syscall.SIGCONT))
		})
	case 1:
		i.inject(what+" killed", p, func() error {
			err := p.Signal(syscall.SIGKILL)
			<-p.Ended()
			time.Sleep(d / 4)
			return errors.CombineErrors(err, p.Start())
		})
	default:
		i.inject(what+" stopped", p, func() error {
			if err := p.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			select {
			case <-p.Ended():
			case <-time.After(grace):
				i.world.records.Fault("%s still runs %s after SIGTERM", p.name, grace)
				p.Kill()
			}
			return p.Start()
		})
	}
}

func (i *Injector) endpointCrash() {
	s := i.world.servers[i.random.IntN(len(i.world.servers))]
	d := i.upTo(2500 * time.Millisecond)
	i.inject("endpoint crashed", s, func() error {
		if err := s.Crash(); err != nil {
			return err
		}
		time.Sleep(d)
		return s.Start()
	})
}

// endpointLeaves has an endpoint leave, and checks that it gets no work later.
func (i *Injector) endpointLeaves() {
	s := i.world.servers[i.random.IntN(len(i.world.servers))]
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

func (i *Injector) configure() {
	i.inject("configuration", fmt.Sprint("configuration ", i.random.Uint64()), i.world.Configure)
}

func (i *Injector) revoke() {
	i.inject("key taken away", fmt.Sprint("key ", i.random.Uint64()), i.world.Revoke)
}

func (i *Injector) storeFault() {
	d := i.upTo(2500 * time.Millisecond)
	i.inject("store fails", i.world.store, func() error {
		i.world.FailStore(true)
		time.Sleep(d)
		i.world.FailStore(false)
		return nil
	})
}

func (i *Injector) storeForgets() {
	i.inject("store forgets its history", "history", func() error {
		i.world.store.objects.Compact()
		return nil
	})
}
