package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	"github.com/knapweedpulley/knapweedpulley/term"
)

const (
	// cutRate is the contract of a large customer, in tokens and tokens per second.
	cutRate = 32_354
	// assumedGateways is the number that gateways assume before a keeper tells one.
	assumedGateways = 50
	// electorCount is the number of keepers.
	electorCount = 5
	// notePeriod is the time between two notes of a gateway, updatePeriod that between two updates of
	// its list, and tick that between two rounds of the simulation.
	notePeriod   = time.Second
	updatePeriod = time.Second
	tick         = 50 * time.Millisecond
)

// cutKeeper lists gateways as a keeper does.
type cutKeeper struct {
	startedAt knapweedpulley.Instant
	until     map[knapweedpulley.EntryID]knapweedpulley.Instant
	heard     map[knapweedpulley.EntryID]knapweedpulley.Instant
	down      bool
	// listed is the list of the reports of the instant listedAt.
	listed   []knapweedpulley.Member
	listedAt knapweedpulley.Instant
}

// cutGateway is a gateway with its own view of the keepers.
type cutGateway struct {
	member     knapweedpulley.Member
	fleet      *fleet.Fleet
	roster     *fleet.Roster
	allowances *contract.Allowances
	peers      *gateway.Peers
	limiter    *gateway.RateLimiter
	// fromKeepers and fromPeers are set while the gateway is cut off from them. unreached are single
	// keepers from which it is cut off.
	fromKeepers, fromPeers bool
	unreached              knapweedpulley.Set[int]
	// frozen stops it altogether.
	frozen                         bool
	notedAt, reportedAt, updatedAt time.Time
}

// cutFleet is a fleet whose gateways may be cut off from the keepers and from each other.
type cutFleet struct {
	t        *testing.T
	random   *rand.Rand
	keepers  []*cutKeeper
	gateways []*cutGateway
	contract knapweedpulley.Contract
	// customers each have such a contract.
	customers []knapweedpulley.CustomerID
	// queues is set if calls queue for the customer's rate.
	queues   bool
	byID     map[knapweedpulley.EntryID]*cutGateway
	mu       sync.Mutex
	admitted []admission
	// fingerprint is that of the last call.
	fingerprint knapweedpulley.Fingerprint
}

func newCutFleet(
	t *testing.T, size int, c knapweedpulley.Contract, queues bool, more ...knapweedpulley.CustomerID,
) *cutFleet {
	t.Helper()
	f := &cutFleet{
		t: t, random: rand.New(rand.NewPCG(1, 2)), byID: make(map[knapweedpulley.EntryID]*cutGateway),
		contract: c, customers: append([]knapweedpulley.CustomerID{c.Customer}, more...), queues: queues,
	}
	if queues {
		f.contract.Slack = contract.QueueSlack
	}
	for range electorCount {
		k := &cutKeeper{}
		k.restart()
		f.keepers = append(f.keepers, k)
	}
	for n := range size {
		m := knapweedpulley.Member{Entry: knapweedpulley.EntryID(fmt.Sprintf("front-%d", n))}
		f.gateways = append(f.gateways, f.newGateway(m))
		f.byID[m.Entry] = f.gateways[n]
	}
	f.run(12 * time.Second)
	return f
}

// list returns the gateways that the keeper lists. Reports of the same instant share it.
func (k *cutKeeper) list(gateways []*cutGateway, now knapweedpulley.Instant) []knapweedpulley.Member {
	if k.listed != nil && k.listedAt == now {
		return k.listed
	}
	k.listed, k.listedAt = make([]knapweedpulley.Member, 0, len(gateways)), now
	for _, g := range gateways {
		if k.until[g.member.Entry].After(now) {
			k.listed = append(k.listed, g.member)
		}
	}
	return k.listed
}

func (k *cutKeeper) restart() {
	k.startedAt = fake.Clock{}.Now()
	k.until = make(map[knapweedpulley.EntryID]knapweedpulley.Instant)
	k.heard = make(map[knapweedpulley.EntryID]knapweedpulley.Instant)
	k.down, k.listed = false, nil
}

// interval returns the time between two reports, which grows with the number of gateways.
func (k *cutKeeper) interval() time.Duration {
	return max(500*time.Millisecond, 250*time.Millisecond*time.Duration(1+len(k.until)/8))
}

func (k *cutKeeper) listing() time.Duration {
	return 2*k.interval() + 3*time.Second
}

func (f *cutFleet) newGateway(m knapweedpulley.Member) *cutGateway {
	g := &cutGateway{member: m, fleet: fleet.New(fake.Clock{}, "home")}
	var list []knapweedpulley.RegisteredEndpoint
	for n := range electorCount {
		list = append(list, knapweedpulley.RegisteredEndpoint{ID: elector(n), Service: "llm", Zone: "home", Start: 1})
	}
	g.fleet.Update(list)
	permission := term.New(fake.Clock{})
	g.roster = fleet.NewRoster(fake.Clock{}, m.Entry, permission)
	g.allowances = contract.NewAllowances(fake.Clock{}, m.Entry, assumedGateways)
	g.allowances.Bind(permission)
	if f.queues {
		g.allowances.EnableQueues()
	}
	var contracts []knapweedpulley.Contract
	for _, customer := range f.customers {
		c := f.contract
		c.Customer = customer
		contracts = append(contracts, c)
	}
	g.allowances.Configure(contracts)
	g.peers = gateway.NewPeers(m)
	g.limiter = gateway.NewRateLimiter(g.allowances, &cutLink{f, g}, g.peers, fake.Clock{},
		logbook.New(io.Discard, log.InfoLevel, "test", "test"))
	return g
}

func elector(n int) knapweedpulley.EndpointID {
	return knapweedpulley.EndpointID(fmt.Sprintf("i-%d", n))
}

// cutLink is the way of a gateway to the others.
type cutLink struct {
	fleet *cutFleet
	from  *cutGateway
}

// to returns a gateway, and whether it can be reached.
func (l *cutLink) to(m knapweedpulley.Member) (*cutGateway, bool) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	to := l.fleet.byID[m.Entry]
	return to, !l.from.fromPeers && !to.fromPeers && !to.frozen
}

// Borrow implements knapweedpulley.AllowanceLink.
func (l *cutLink) Borrow(
	_ context.Context, m knapweedpulley.Member, customer knapweedpulley.CustomerID, n knapweedpulley.Tokens,
) (knapweedpulley.Tokens, error) {
	time.Sleep(2 * time.Millisecond)
	to, reached := l.to(m)
	if !reached {
		time.Sleep(58 * time.Millisecond)
		return 0, errors.New("no answer")
	}
	return to.allowances.Lend(customer, n), nil
}

// Reserve implements knapweedpulley.AllowanceLink. The answer is lost if the gateway can't be reached any more or was
// started again.
func (l *cutLink) Reserve(
	ctx context.Context, m knapweedpulley.Member, r knapweedpulley.Reservation,
) (knapweedpulley.ReservationResult, error) {
	time.Sleep(2 * time.Millisecond)
	to, reached := l.to(m)
	if reached {
		result, err := to.allowances.Reserve(ctx, r)
		if now, reached := l.to(m); reached && now == to {
			return result, err
		}
	}
	<-ctx.Done()
	return knapweedpulley.ReservationResult{}, errors.New("no answer")
}

// step lets the gateways send notes, the keepers report, and the gateways act on the reports.
func (f *cutFleet) step() {
	now := fake.Clock{}.Now()
	for _, g := range f.gateways {
		if g.frozen {
			continue
		}
		if !g.fromKeepers && time.Since(g.notedAt) >= notePeriod {
			g.notedAt = time.Now()
			for n, k := range f.keepers {
				if !k.down && !g.unreached.Has(n) {
					if !k.until[g.member.Entry].After(now) {
						k.listed = nil
					}
					k.until[g.member.Entry], k.heard[g.member.Entry] = now.Add(k.listing()), now
				}
			}
		}
		f.report(g, now)
		if time.Since(g.updatedAt) < updatePeriod {
			continue
		}
		g.updatedAt = time.Now()
		if members, known := g.roster.Update(endpoints(g.fleet)); known {
			g.peers.SetMembers(members)
			g.allowances.Assign(members)
		} else if n, some := g.roster.Assumed(); some {
			g.allowances.Assume(n)
		} else {
			g.allowances.Assume(assumedGateways)
		}
	}
}

// report brings a gateway the reports that are due.
func (f *cutFleet) report(g *cutGateway, now knapweedpulley.Instant) {
	if g.fromKeepers || time.Since(g.reportedAt) < f.keepers[0].interval() {
		return
	}
	g.reportedAt = time.Now()
	for n, k := range f.keepers {
		if k.down || g.unreached.Has(n) {
			continue
		}
		r := knapweedpulley.EngineReport{
			Start: 1, Lifetime: 3 * k.interval(), Uptime: now.Sub(k.startedAt),
			Heard: k.heard[g.member.Entry], Listing: k.listing(),
		}
		r.Gateways = k.list(f.gateways, now)
		g.fleet.ApplyReport(g.fleet.Endpoints()[elector(n)], r)
	}
}

func endpoints(f *fleet.Fleet) []*fleet.Endpoint {
	var list []*fleet.Endpoint
	for _, e := range f.Endpoints() {
		list = append(list, e)
	}
	return list
}

// run lets time pass without requests.
func (f *cutFleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		f.step()
	}
}

// play lets a customer send the given multiple of its rate for d, an equal part to each gateway, and
// returns the tokens that were admitted as a share of its rate.
func (f *cutFleet) play(d time.Duration, share float64) float64 {
	f.t.Helper()
	var calls sync.WaitGroup
	defer calls.Wait()
	before := f.sum()
	perTick := share * float64(f.contract.Rate) * tick.Seconds() / requestTokens
	due := 0.0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		f.step()
		for due += perTick; due >= 1; due-- {
			g := f.gateways[f.random.IntN(len(f.gateways))]
			if g.frozen {
				continue
			}
			n := knapweedpulley.Tokens(requestTokens/2 + f.random.IntN(requestTokens))
			calls.Go(func() { f.charge(g, n) })
			synctest.Wait()
		}
	}
	return float64(f.sum()-before) / (float64(f.contract.Rate) * d.Seconds())
}

func (f *cutFleet) charge(g *cutGateway, n knapweedpulley.Tokens) {
	if _, err := g.limiter.Acquire(f.t.Context(), gateway.TokenRequest{
		Reservation: knapweedpulley.Reservation{
			Customer: testCustomer, Tokens: n, Route: "play", MaxWait: 600 * time.Millisecond, Fingerprint: f.nextFingerprint(),
		},
		Deadline: fake.Clock{}.Now().Add(time.Minute), ChargeWait: 200 * time.Millisecond,
	}); err == nil {
		f.admit(testCustomer, n)
	}
}

func (f *cutFleet) admit(customer knapweedpulley.CustomerID, n knapweedpulley.Tokens) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted = append(f.admitted, admission{time.Now(), n, customer})
}

// admittedFor returns what was admitted for one customer.
func (f *cutFleet) admittedFor(customer knapweedpulley.CustomerID) []admission {
	return slices.DeleteFunc(slices.Clone(f.admitted), func(a admission) bool { return a.customer != customer })
}

func (f *cutFleet) nextFingerprint() knapweedpulley.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fingerprint++
	return f.fingerprint
}

// sum returns the tokens that were admitted so far.
func (f *cutFleet) sum() knapweedpulley.Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := knapweedpulley.Tokens(0)
	for _, a := range f.admitted {
		sum += a.tokens
	}
	return sum
}

// assertWithinContract requires that in each window no more was admitted than the bounds allow.
func (f *cutFleet) assertWithinContract() {
	f.t.Helper()
	limit := (float64(f.contract.Rate)*quotaWindow.Seconds()+float64(f.contract.Burst))*(1+quotaOverage) + quotaSlack
	most := 0.0
	for _, customer := range f.customers {
		admitted, sum, first := f.admittedFor(customer), 0.0, 0
		for _, a := range admitted {
			sum += float64(a.tokens)
			for ; a.at.Sub(admitted[first].at) >= quotaWindow; first++ {
				sum -= float64(admitted[first].tokens)
			}
			most = max(most, sum)
		}
	}
	f.t.Logf("most tokens in a window: %.0f of %.0f", most, limit)
	is.New(f.t).True(most <= limit)
}

// cut cuts n gateways off from the keepers, and from the other gateways as well if all is set.
func (f *cutFleet) cut(n int, all bool) {
	for _, g := range f.gateways[:n] {
		g.fromKeepers, g.fromPeers = true, all
	}
}

func (f *cutFleet) heal(n int) {
	for _, g := range f.gateways[:n] {
		g.fromKeepers, g.fromPeers, g.frozen = false, false, false
	}
}

func withCutFleet(name string, t *testing.T, test func(f *cutFleet, size int)) {
	t.Helper()
	c := knapweedpulley.Contract{Customer: testCustomer, Rate: cutRate, Burst: cutRate}
	for _, queues := range []bool{false, true} {
		for _, size := range []int{4, 16, fleetSize} {
			t.Run(fmt.Sprintf("%s, with %d gateways%s", name, size, map[bool]string{true: " and queues"}[queues]), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { test(newCutFleet(t, size, c, queues), size) })
			})
		}
	}
}

// playCut cuts some gateways off while a customer sends three times its rate, and until after they are
// back.
func playCut(f *cutFleet, n int, all bool) {
	f.t.Helper()
	f.play(10*time.Second, 3)
	f.cut(n, all)
	served := f.play(20*time.Second, 3)
	f.heal(n)
	f.t.Logf("tokens served while %d are cut off: %.3f of the rate", n, served)
	f.play(20*time.Second, 3)
	f.assertWithinContract()
}

func TestCutOffGatewaysKeepTheContract(t *testing.T) {
	for _, all := range []bool{false, true} {
		from := map[bool]string{false: "the keepers", true: "all"}[all]
		for _, n := range []int{1, 2, 3} {
			withCutFleet(fmt.Sprintf("%d cut off from %s", n, from), t, func(f *cutFleet, _ int) { playCut(f, n, all) })
		}
		withCutFleet("all but one cut off from "+from, t, func(f *cutFleet, size int) { playCut(f, size-1, all) })
		withCutFleet("half of them cut off from "+from, t, func(f *cutFleet, size int) { playCut(f, size/2, all) })
	}
}

func TestGatewaysThatComeBackKeepTheContract(t *testing.T) {
	withCutFleet("in turn", t, func(f *cutFleet, size int) {
		f.cut(size-1, true)
		f.play(15*time.Second, 3)
		for n := range size - 1 {
			f.heal(n + 1)
			f.play(20*time.Second/time.Duration(size), 3)
		}
		f.play(20*time.Second, 3)
		f.assertWithinContract()
	})
	withCutFleet("again and again", t, func(f *cutFleet, size int) {
		for range 6 {
			f.cut(size/2, true)
			f.play(9*time.Second, 3)
			f.heal(size / 2)
			f.play(3*time.Second, 3)
		}
		f.assertWithinContract()
	})
	withCutFleet("thawed after all the others have taken over", t, func(f *cutFleet, size int) {
		f.run(10 * time.Second)
		for _, g := range f.gateways[:size-1] {
			g.frozen = true
		}
		f.play(20*time.Second, 3)
		f.heal(size - 1)
		f.play(20*time.Second, 3)
		f.assertWithinContract()
	})
	withCutFleet("to keepers that have restarted, beside one that starts anew", t, func(f *cutFleet, size int) {
		f.play(5*time.Second, 3)
		for _, k := range f.keepers {
			k.restart()
		}
		f.cut(size-1, true)
		last := f.gateways[size-1]
		f.gateways[size-1] = f.newGateway(last.member)
		f.byID[last.member.Entry] = f.gateways[size-1]
		f.play(2*time.Second, 3)
		f.heal(size - 1)
		f.play(20*time.Second, 3)
		f.assertWithinContract()
	})
}

func TestGatewaysThatReachDifferentKeepersKeepTheContract(t *testing.T) {
	for _, first := range []int{1, electorCount / 2, electorCount - 1} {
		name := fmt.Sprintf("half of them %d and the others %d", first, electorCount-first)
		withCutFleet(name, t, func(f *cutFleet, size int) {
			f.play(10*time.Second, 3)
			for i, g := range f.gateways {
				g.fromPeers = true
				g.unreached = make(knapweedpulley.Set[int])
				for n := range electorCount {
					if (n < first) != (i < size/2) {
						g.unreached.Add(n)
					}
				}
			}
			f.t.Logf("tokens served: %.3f of the rate", f.play(20*time.Second, 3))
			for _, g := range f.gateways {
				g.unreached = nil
			}
			f.heal(size)
			f.play(20*time.Second, 3)
			f.assertWithinContract()
		})
	}
	withCutFleet("while a third of the keepers is down", t, func(f *cutFleet, size int) {
		for _, k := range f.keepers[:electorCount/3] {
			k.down = true
		}
		f.play(10*time.Second, 3)
		playCut(f, size/2, true)
	})
}

func TestGatewaysInTouchAreNotRefused(t *testing.T) {
	withCutFleet("while most keepers restart", t, func(f *cutFleet, _ int) {
		f.play(10*time.Second, 0.9)
		for _, k := range f.keepers[1:] {
			k.down = true
		}
		f.play(time.Second, 0.9)
		for _, k := range f.keepers[1:] {
			k.restart()
		}
		is.New(f.t).True(f.play(20*time.Second, 0.9) >= 0.88)
		f.assertWithinContract()
	})
	withCutFleet("for long after all keepers have been down", t, func(f *cutFleet, _ int) {
		f.play(10*time.Second, 0.9)
		for _, k := range f.keepers {
			k.down = true
		}
		f.t.Logf("tokens served while all keepers are down: %.3f of the rate", f.play(10*time.Second, 0.9))
		for _, k := range f.keepers {
			k.restart()
		}
		f.run(10 * time.Second)
		is.New(f.t).True(f.play(20*time.Second, 0.9) >= 0.88)
		f.assertWithinContract()
	})
	withCutFleet("in a fleet that loses a gateway, after a while", t, func(f *cutFleet, _ int) {
		f.gateways[0].frozen = true
		f.play(10*time.Second, 3)
		is.New(f.t).True(f.play(20*time.Second, 3) >= 0.9)
		f.assertWithinContract()
	})
}
