package contract

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/knapweedpulley/knapweedpulley"
)

// stoppedClock always returns the same instant.
type stoppedClock struct{}

func (stoppedClock) Now() knapweedpulley.Instant {
	return 1
}

// unresponsiveRegistry is the registry and link of a member whose other members never answer.
type unresponsiveRegistry struct {
	knapweedpulley.Registry
	view    knapweedpulley.EntryView
	members []knapweedpulley.Member
}

func newUnresponsiveRegistry(members int) *unresponsiveRegistry {
	p := &unresponsiveRegistry{view: newModelState(members).view}
	for _, e := range p.view.Entries {
		p.members = append(p.members, e.Member)
	}
	return p
}

func (p *unresponsiveRegistry) Valid() bool                        { return true }
func (p *unresponsiveRegistry) Self() knapweedpulley.Member        { return p.members[0] }
func (p *unresponsiveRegistry) Members() []knapweedpulley.Member   { return p.members }
func (p *unresponsiveRegistry) View() knapweedpulley.EntryView     { return p.view }
func (p *unresponsiveRegistry) Owner(string) knapweedpulley.Member { return p.members[0] }

// Exchange implements knapweedpulley.ShareLink.
func (*unresponsiveRegistry) Exchange(
	ctx context.Context, _ knapweedpulley.Member, m knapweedpulley.ShareMessage,
) (knapweedpulley.ShareMessage, error) {
	<-ctx.Done()
	return m, ctx.Err()
}

func newContracts(n int) []knapweedpulley.Contract {
	contracts := make([]knapweedpulley.Contract, n)
	for i := range contracts {
		id := knapweedpulley.CustomerID(fmt.Sprintf("customer-%04d", i))
		contracts[i] = knapweedpulley.Contract{Customer: id, Rate: 1000, Burst: 4000}
	}
	return contracts
}

func newIdleLimiter(b *testing.B, members, customers int) *Limiter {
	b.Helper()
	p := newUnresponsiveRegistry(members)
	l, cleanup := NewLimiter(stoppedClock{}, p, p)
	b.Cleanup(cleanup)
	l.SetCustomers(newContracts(customers))
	return l
}

// BenchmarkRound measures the cost of one other member in each round: a member builds its
// message to it, and handles the message from it.
func BenchmarkRound(b *testing.B) {
	for _, customers := range []int{5, 50, 500} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			l := newIdleLimiter(b, 2, customers)
			m := l.message(modelMember(1), true)
			m.From, m.To = modelMember(1), modelMember(0)
			b.ReportAllocs()
			for b.Loop() {
				l.message(modelMember(1), true)
				l.HandleShares(m)
			}
		})
	}
}

// BenchmarkState measures the memory per customer, including the reported shares of the other
// members.
func BenchmarkState(b *testing.B) {
	for _, members := range []int{1, 8, 64} {
		for _, customers := range []int{50, 500} {
			b.Run(fmt.Sprintf("members=%d/customers=%d", members, customers), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					l := newIdleLimiter(b, members, customers)
					m := l.message(modelMember(0), true)
					for i := 1; i < members; i++ {
						m.From, m.To = modelMember(i), modelMember(0)
						l.HandleShares(m)
					}
					b.ReportMetric(float64(heapBytes()-before)/float64(customers), "B/customer")
					runtime.KeepAlive(l)
				}
			})
		}
	}
}

// heapBytes returns the live heap in bytes after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
