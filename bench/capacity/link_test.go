package capacity_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/bench/capacity"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/machine"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

// idleAgent is an agent without requests, whose status never changes.
type idleAgent struct {
	id knapweedpulley.EndpointID
}

func (*idleAgent) Run(
	context.Context, knapweedpulley.Request, knapweedpulley.AnswerWriter,
) (knapweedpulley.Usage, error) {
	return knapweedpulley.Usage{}, nil
}

func (*idleAgent) Order(context.Context, knapweedpulley.Order) error { return nil }

func (a *idleAgent) Status() knapweedpulley.EndpointStatus {
	return knapweedpulley.EndpointStatus{
		Endpoint: a.id, Machine: knapweedpulley.MachineID("vm-" + a.id), Zone: "zone-01", Incarnation: 1,
		Engine: knapweedpulley.EngineState{Slots: 64, Models: []knapweedpulley.LoadedModel{
			{Model: "model-001", Size: knapweedpulley.GiB, State: knapweedpulley.StateLoaded},
		}},
	}
}

// linkCost is what the links of an entry to idle agents cost, both ends together:
// bytes and microseconds of processor time per second, and memory in bytes.
type linkCost struct {
	bytes        float64
	microseconds float64
	memory       float64
}

// measureLinks measures the cost of n idle links over 10 s.
func measureLinks(t *testing.T, n int) linkCost {
	t.Helper()
	const (
		settle  = 3 * time.Second
		seconds = 10
	)
	var count atomic.Int64
	before := capacity.OwnMemory()
	var list []knapweedpulley.Machine
	for i := range n {
		agent := &idleAgent{id: knapweedpulley.EndpointID(fmt.Sprintf("engine-%05d", i))}
		server, end := link.NewAgentServer(agent, 1, machine.NewClock())
		t.Cleanup(end)
		address := serve(t, &count, func(r grpc.ServiceRegistrar) { server.Register(r) })
		list = append(list, knapweedpulley.Machine{
			ID: knapweedpulley.MachineID("vm-" + agent.id), Role: knapweedpulley.RoleAgent, Address: address,
		})
	}
	connections, closeConnections := link.NewConnections(nil)
	t.Cleanup(closeConnections)
	table, closeTable := link.NewTable(link.EndpointSettings{
		Self: newMember(0, ""), Connections: connections, Clock: machine.NewClock(), Lease: newFakeRegistry(0),
		Receiver: endpoint.NewFleet("zone-01", zone.NewDistances(nil)),
		Log:      &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	t.Cleanup(closeTable)
	table.Sync(list)
	time.Sleep(settle)
	bytes, core := count.Load(), capacity.OwnCPUTime()
	time.Sleep(seconds * time.Second)
	m := linkCost{
		bytes:        float64(count.Load()-bytes) / seconds,
		microseconds: float64((capacity.OwnCPUTime() - core).Microseconds()) / seconds,
	}
	m.memory = capacity.OwnMemory() - before
	return m
}

func TestLinkSlopes(t *testing.T) {
	if !full() {
		t.Skip("takes half a minute of real time; runs only if KNAPWEEDPULLEY_BENCH is set")
	}
	const small, large = 20, 200
	a, b := measureLinks(t, small), measureLinks(t, large)
	plan := capacity.Plan()
	lines := []capacity.Line{
		capacity.LineThrough("bytes a second, both ways", "link", small, a.bytes, large, b.bytes),
		capacity.LineThrough("microseconds a second, both ends", "link", small, a.microseconds, large, b.microseconds),
		capacity.LineThrough("heap and stacks, both ends", "link", small, a.memory, large, b.memory),
	}
	for _, l := range lines {
		logLine(t, l, plan.Servers)
		assertGrows(t, l)
	}
}
