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

// full reports whether the long figures are asked for, as the bench does.
func full() bool {
	return os.Getenv("KNAPWEEDPULLEY_BENCH") != ""
}

func now() time.Time {
	return time.Unix(1_790_000_000, 0)
}

// ready answers for members that hold nothing and acknowledge all.
type ready struct{}

func (ready) Exchange(
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

func secretOf(i int) string {
	return fmt.Sprintf("kp-%s", customerID(i))
}

// customerChange returns a write of a customer with one model, one key and its
// part of the planned adapters.
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
	author := customer.Author{Operator: "olga", Time: now(), Change: "change"}
	record, err := customer.Record{}.Apply(author, text, nil)
	is.NoErr(err)
	record, err = record.IssueKey(author, "counter", customer.HashOf(secretOf(i)))
	is.NoErr(err)
	value, err := record.Encode()
	is.NoErr(err)
	return knapweedpulley.Change{Object: knapweedpulley.Object{Name: string(id), Revision: revision, Value: value}}
}

func member(i int, address string) knapweedpulley.Member {
	return knapweedpulley.Member{
		Entry: knapweedpulley.EntryID(fmt.Sprintf("entry-%04d", i)), Incarnation: 1_790_000_000_000_000_000,
		Machine: knapweedpulley.MachineID(fmt.Sprintf("vm-%04d", i)), Zone: "zone-01", Address: address,
	}
}

func heartbeat() knapweedpulley.Heartbeat {
	return knapweedpulley.Heartbeat{
		From: member(1, "").ID(), View: 1_000_000, Age: 700_000_000, InForce: true, Digest: 1 << 63,
	}
}

func customerID(i int) knapweedpulley.CustomerID {
	return knapweedpulley.CustomerID(fmt.Sprintf("customer-%04d", i))
}

// pair is the registry of an entry that has others beside it.
type pair struct {
	self    knapweedpulley.Member
	members []knapweedpulley.Member
	view    knapweedpulley.EntryView
}

func newPair(others int) *pair {
	p := &pair{self: member(0, ""), view: knapweedpulley.EntryView{Revision: 1}}
	for i := range others + 1 {
		m := member(i, "")
		p.members = append(p.members, m)
		p.view.Entries = append(p.view.Entries, knapweedpulley.RegisteredEntry{
			Member: m, State: knapweedpulley.EntryActive, Revision: 1,
		})
	}
	return p
}

func (*pair) Valid() bool                          { return true }
func (p *pair) Self() knapweedpulley.Member        { return p.self }
func (p *pair) Members() []knapweedpulley.Member   { return p.members }
func (p *pair) Owner(string) knapweedpulley.Member { return p.self }
func (p *pair) View() knapweedpulley.EntryView     { return p.view }

// newLedger returns a ledger with contracts and other members, which hold nothing.
func newLedger(t testing.TB, customers, others int) *contract.Limiter {
	t.Helper()
	l, cleanup := contract.NewLimiter(machine.NewClock(), newPair(others), ready{})
	t.Cleanup(cleanup)
	var contracts []knapweedpulley.Contract
	for i := range customers {
		contracts = append(contracts, knapweedpulley.Contract{Customer: customerID(i), Rate: 1e6, Burst: 1e8})
	}
	l.SetCustomers(contracts)
	return l
}

// demands returns the message of a tick.
func demands(from, customers int) knapweedpulley.ShareMessage {
	m := knapweedpulley.ShareMessage{From: member(from, "").ID(), To: member(0, "").ID(), Tick: true}
	for i := range customers {
		m.Demands = append(m.Demands, knapweedpulley.ShareDemand{
			Customer: customerID(i), Held: knapweedpulley.WholePortion / 4, Level: 12345.678, Rate: 1234.5,
		})
	}
	return m
}
