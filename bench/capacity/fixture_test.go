package capacity_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/bench/capacity"
	"github.com/knapweedpulley/knapweedpulley/contract"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

// full reports whether the long figures are enabled. It reads the same environment
// variable as package bench.
func full() bool {
	return os.Getenv("KNAPWEEDPULLEY_BENCH") != ""
}

func fixedNow() time.Time {
	return time.Unix(1_790_000_000, 0)
}

// acknowledgingPeers is a share sender whose peers hold no shares and acknowledge every
// grant.
type acknowledgingPeers struct{}

func (acknowledgingPeers) Exchange(
	_ context.Context, to knapweedpulley.Member, m knapweedpulley.ShareMessage,
) (knapweedpulley.ShareMessage, error) {
	answer := knapweedpulley.ShareMessage{From: to.ID(), To: m.From, Epoch: m.Epoch}
	if n := len(m.Grants); n > 0 {
		answer.Taken = m.Grants[n-1].Number
	}
	if m.Counting {
		answer.Report = knapweedpulley.Some(knapweedpulley.ShareReport{Epoch: m.Epoch, View: 1})
	}
	return answer, nil
}

func keySecret(i int) string {
	return fmt.Sprintf("kp-%s", customerID(i))
}

// customerChange returns the write of a customer with one model, one key and its share
// of the planned adapters.
func customerChange(t testing.TB, i int, revision knapweedpulley.Revision) knapweedpulley.Change {
	t.Helper()
	is := is.New(t)
	plan := capacity.Plan()
	id := customerID(i)
	base := modelID(i)
	template := customer.Template{
		Customer: id, Weight: 1, Rate: 1000, Burst: 1000, Deadline: 1, MaxBody: 1,
		Models: []customer.ModelTemplate{{ID: base, Size: knapweedpulley.GiB, Replicas: 1}},
	}
	for a := range plan.Adapters / plan.Customers {
		adapter := knapweedpulley.AdapterID(fmt.Sprintf("%s-adapter-%04d", id, a))
		template.Adapters = append(template.Adapters, customer.AdapterTemplate{
			ID: adapter, Model: base, Size: knapweedpulley.MiB,
		})
	}
	text, err := json.Marshal(template)
	is.NoErr(err)
	author := customer.Author{Operator: "olga", Time: fixedNow(), Change: "change"}
	record, err := customer.Record{}.Apply(author, text, nil)
	is.NoErr(err)
	record, err = record.IssueKey(author, "counter", customer.HashOf(keySecret(i)))
	is.NoErr(err)
	value, err := record.Encode()
	is.NoErr(err)
	return knapweedpulley.Change{Object: knapweedpulley.Object{Name: string(id), Revision: revision, Value: value}}
}

func newMember(i int, address string) knapweedpulley.Member {
	return knapweedpulley.Member{
		Entry: knapweedpulley.EntryID(fmt.Sprintf("entry-%04d", i)), Incarnation: 1_790_000_000_000_000_000,
		Machine: knapweedpulley.MachineID(fmt.Sprintf("vm-%04d", i)), Zone: "zone-01", Address: address,
	}
}

func newHeartbeat() knapweedpulley.Heartbeat {
	return knapweedpulley.Heartbeat{
		From: newMember(1, "").ID(), View: 1_000_000, Age: 700_000_000, InForce: true, Digest: 1 << 63,
	}
}

func customerID(i int) knapweedpulley.CustomerID {
	return knapweedpulley.CustomerID(fmt.Sprintf("customer-%04d", i))
}

// fakeRegistry is a registry with fixed members in which this entry owns every key.
type fakeRegistry struct {
	self    knapweedpulley.Member
	members []knapweedpulley.Member
	view    knapweedpulley.EntryView
}

func newFakeRegistry(others int) *fakeRegistry {
	r := &fakeRegistry{self: newMember(0, ""), view: knapweedpulley.EntryView{Revision: 1}}
	for i := range others + 1 {
		m := newMember(i, "")
		r.members = append(r.members, m)
		r.view.Entries = append(r.view.Entries, knapweedpulley.RegisteredEntry{
			Member: m, State: knapweedpulley.EntryActive, Revision: 1,
		})
	}
	return r
}

func (*fakeRegistry) Valid() bool                          { return true }
func (r *fakeRegistry) Self() knapweedpulley.Member        { return r.self }
func (r *fakeRegistry) Members() []knapweedpulley.Member   { return r.members }
func (r *fakeRegistry) Owner(string) knapweedpulley.Member { return r.self }
func (r *fakeRegistry) View() knapweedpulley.EntryView     { return r.view }

// newLimiter returns a rate limiter with one contract per customer and the given number
// of other members, which hold no shares.
func newLimiter(t testing.TB, customers, others int) *contract.Limiter {
	t.Helper()
	l, cleanup := contract.NewLimiter(machine.NewClock(), newFakeRegistry(others), acknowledgingPeers{})
	t.Cleanup(cleanup)
	var contracts []knapweedpulley.Contract
	for i := range customers {
		contracts = append(contracts, knapweedpulley.Contract{Customer: customerID(i), Rate: 1e6, Burst: 1e8})
	}
	l.SetCustomers(contracts)
	return l
}

// newShareMessage returns the share message that a member sends on a tick, with the
// demand of each customer.
func newShareMessage(from, customers int) knapweedpulley.ShareMessage {
	m := knapweedpulley.ShareMessage{From: newMember(from, "").ID(), To: newMember(0, "").ID(), Tick: true}
	for i := range customers {
		m.Demands = append(m.Demands, knapweedpulley.ShareDemand{
			Customer: customerID(i), Held: knapweedpulley.WholePortion / 4, Level: 12345.678, Rate: 1234.5,
		})
	}
	return m
}
