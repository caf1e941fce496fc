package capacity_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/bench/capacity"
	"github.com/knapweedpulley/knapweedpulley/burn"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/endpoint"
	"github.com/knapweedpulley/knapweedpulley/link"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/machines"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

// logLine logs a line and its cost at the given size.
func logLine(t *testing.T, l capacity.Line, size int) {
	t.Helper()
	t.Logf("SLOPE %s; at %d: %.5g", l, size, l.At(float64(size)))
}

// assertGrows requires that the cost grows with the size.
func assertGrows(t *testing.T, l capacity.Line) {
	t.Helper()
	is.New(t).True(l.Slope > 0)
}

// measureLine measures the cost at two sizes, logs the line through them with its cost
// at the planned size, and returns it.
func measureLine(
	t *testing.T, name, per string, small, large, planned int, cost func(t *testing.T, n int) float64,
) capacity.Line {
	t.Helper()
	l := capacity.LineThrough(name, per, float64(small), cost(t, small), float64(large), cost(t, large))
	logLine(t, l, planned)
	return l
}

// serve serves a gRPC service on a listener that adds its traffic to count, and returns
// its address.
func serve(t *testing.T, count *atomic.Int64, register func(grpc.ServiceRegistrar)) string {
	t.Helper()
	is := is.New(t)
	w, err := capacity.Listen(count)
	is.NoErr(err)
	_, stop, err := link.Serve(w, nil, register)
	is.NoErr(err)
	t.Cleanup(stop)
	return w.Addr().String()
}

// echoHandler answers each heartbeat with the same heartbeat.
type echoHandler struct{}

func (echoHandler) HandleHeartbeat(h knapweedpulley.Heartbeat) knapweedpulley.Heartbeat {
	return h
}

func TestSlopes(t *testing.T) {
	plan := capacity.Plan()
	var count atomic.Int64
	exchangeHeartbeats := func(t *testing.T, n int) *atomic.Int64 {
		count.Store(0)
		address := serve(t, &count, func(r grpc.ServiceRegistrar) { link.RegisterMembers(r, echoHandler{}) })
		connections, cleanup := link.NewConnections(nil)
		t.Cleanup(cleanup)
		sender := link.NewHeartbeatSender(connections)
		for range n {
			_, err := sender.Heartbeat(t.Context(), newMember(2, address), newHeartbeat())
			is.New(t).NoErr(err)
		}
		return &count
	}
	t.Run("heartbeat of entries", func(t *testing.T) {
		assertGrows(t, measureLine(t, "bytes both ways", "exchange", 200, 2000, 2*plan.Entries,
			func(t *testing.T, n int) float64 { return float64(exchangeHeartbeats(t, n).Load()) }))
		measureLine(t, "microseconds of both ends", "exchange", 2000, 10_000, 2*plan.Entries,
			func(t *testing.T, n int) float64 {
				before := capacity.OwnCPUTime()
				exchangeHeartbeats(t, n)
				return float64((capacity.OwnCPUTime() - before).Microseconds())
			})
	})
	t.Run("list of VMs", func(t *testing.T) {
		assertGrows(t, measureLine(t, "bytes of an answer", "VM", 100, 1000, plan.Machines(), machineListSize))
	})
	t.Run("status of an agent", func(t *testing.T) {
		assertGrows(t, measureLine(t, "bytes of a status", "adapter", 10, 100, 100, statusSize))
	})
	t.Run("messages", logMessageSizes)
}

// machineListSize returns the size in bytes of the platform's response with n VMs.
func machineListSize(t *testing.T, n int) float64 {
	t.Helper()
	list := machines.NewList()
	for i := range n {
		list.Put(machines.Machine{
			ID: knapweedpulley.MachineID(fmt.Sprintf("vm-engine-%05d", i)), Zone: "zone-01", Region: "region-01",
			Role: knapweedpulley.RoleAgent, Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250),
		})
	}
	w := httptest.NewRecorder()
	machines.NewHandler(list, fault.NewInjector()).ServeHTTP(w,
		httptest.NewRequest(http.MethodGet, "/machines", http.NoBody))
	return float64(w.Body.Len())
}

// statusSize returns the encoded size in bytes of the status of an agent with n adapters.
func statusSize(_ *testing.T, n int) float64 {
	m := &linkpb.Model{Model: "customer-0001-model-01", Size: 16 << 30, State: "loaded"}
	for i := range n {
		m.Adapters = append(m.Adapters, &linkpb.Adapter{
			Adapter: fmt.Sprintf("customer-0001-adapter-%04d", i), Size: 64 << 20, State: "loaded",
		})
	}
	return float64(proto.Size(&linkpb.ToEntry{Frame: &linkpb.ToEntry_Status{Status: &linkpb.Status{
		Endpoint: "engine-00001", Machine: "vm-engine-00001", Zone: "zone-01", Incarnation: 1 << 60,
		Memory: 80 << 30, FreeMemory: 20 << 30, Models: []*linkpb.Model{m}, EngineRunning: 20, Slots: 64,
		Starts: 1, Queued: 3, Running: 20, QueuedTokens: 9000,
	}}}))
}

// logMessageSizes logs the encoded sizes of the other messages.
func logMessageSizes(t *testing.T) {
	state := func(k string) *linkpb.ConfigurationState {
		return &linkpb.ConfigurationState{Kind: k, Revision: 1_000_000, Digest: 1}
	}
	part := func(k string) *linkpb.ConfigurationPart {
		return &linkpb.ConfigurationPart{
			Kind: k, From: 1_000_000, Revision: 1_000_000, Digest: 1, Evidence: 1 << 50,
		}
	}
	kinds := []string{"customers", "permits", "entries"}
	ping := &linkpb.ConfigurationPing{Sent: 1 << 50, Seen: 100_000}
	update := &linkpb.ConfigurationUpdate{Echo: 1 << 50, EchoAt: 1 << 50}
	for _, k := range kinds {
		ping.Have = append(ping.Have, state(k))
		update.Parts = append(update.Parts, part(k))
	}
	suspects := &linkpb.SuspectsRequest{
		Endpoint: "engine-00001", Start: 12, Fingerprints: make([]uint64, 8), Isolated: true,
	}
	sizes := []struct {
		name string
		m    proto.Message
	}{
		{"heartbeat of a link", &linkpb.ToEntry{Frame: &linkpb.ToEntry_Heartbeat{
			Heartbeat: &linkpb.Heartbeat{StampNs: 1 << 50},
		}}},
		{"ping of a subscriber", ping},
		{"update with nothing new", update},
		{"suspects of a crash, 8 requests", suspects},
		{"wake", &linkpb.WakeModelRequest{
			Model: "customer-0001-model-01", Adapter: "customer-0001-adapter-0001", Customer: "customer-0001",
			Zone: "zone-01", TimeoutNanoseconds: 30_000_000_000,
		}},
		{"ticket of a transfer", &linkpb.TransferRequest{
			Kind: "model", Entry: "entry-0001", Model: "customer-0001-model-01", Customer: "customer-0001",
			TimeoutNanoseconds: 30_000_000_000, DurationNanoseconds: 4_000_000_000,
		}},
		{"forwarded claim", &linkpb.ClaimRequest{Claim: &linkpb.Claim{
			Customer: "customer-0001", Route: "payments", Key: "5b1e0b0e-28a0-4f0a-9df4-8c7a2a1f0d55",
			Request: "5b1e0b0e-28a0-4f0a-9df4-8c7a2a1f0d55", Fingerprint: 1 << 63, Attempt: 1,
		}}},
	}
	for _, s := range sizes {
		t.Logf("SIZE %s: %d bytes", s.name, proto.Size(s.m))
	}
}

func TestShareSlopes(t *testing.T) {
	plan := capacity.Plan()
	measureExchange := func(t *testing.T, customers, n int) (bytes, microseconds float64) {
		var count atomic.Int64
		limiter := newLimiter(t, customers, 1)
		address := serve(t, &count, func(r grpc.ServiceRegistrar) { link.RegisterShares(r, limiter) })
		connections, cleanup := link.NewConnections(nil)
		t.Cleanup(cleanup)
		sender := link.NewShareSender(connections)
		before := capacity.OwnCPUTime()
		for range n {
			_, err := sender.Exchange(t.Context(), newMember(1, address), newShareMessage(1, customers))
			is.New(t).NoErr(err)
		}
		return float64(count.Load()) / float64(n), float64((capacity.OwnCPUTime() - before).Microseconds()) / float64(n)
	}
	const rounds = 1000
	assertGrows(t, measureLine(t, "bytes of an exchange both ways", "customer", 10, 100, plan.Customers,
		func(t *testing.T, n int) float64 { b, _ := measureExchange(t, n, rounds); return b }))
	measureLine(t, "microseconds of an exchange, both ends", "customer", 10, 100, plan.Customers,
		func(t *testing.T, n int) float64 { _, u := measureExchange(t, n, rounds); return u })
	assertGrows(t, measureLine(t, "memory of the ledger with 100 customers", "member", 100, 400, plan.Entries,
		func(t *testing.T, n int) float64 {
			var used float64
			// No time passes in the synctest bubble, so the limiter does not tick.
			synctest.Test(t, func(t *testing.T) {
				limiter := newLimiter(t, plan.Customers, n)
				before := capacity.OwnMemory()
				for i := range n {
					limiter.HandleShares(newShareMessage(i+1, plan.Customers))
				}
				used = capacity.OwnMemory() - before
			})
			return used
		}))
	for _, customers := range []int{10, plan.Customers} {
		for _, members := range []int{4, 25, 50, 100} {
			t.Logf("FIGURE tick of a ledger without the network, %d customers, %d members: %.0f microseconds",
				customers, members, tickCPUTime(t, customers, members))
		}
	}
}

// tickCPUTime returns the processor time in microseconds that a limiter uses in one
// period, for its own messages and for those of the other members.
func tickCPUTime(t *testing.T, customers, members int) float64 {
	t.Helper()
	const (
		period = 500 * time.Millisecond
		ticks  = 4
	)
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		limiter := newLimiter(t, customers, members)
		before := capacity.OwnCPUTime()
		for range ticks {
			for i := range members {
				limiter.HandleShares(newShareMessage(i+1, customers))
			}
			time.Sleep(period)
			synctest.Wait()
		}
		took = capacity.OwnCPUTime() - before
	})
	return float64(took.Microseconds()) / ticks
}

func TestMemorySlopes(t *testing.T) {
	plan := capacity.Plan()
	assertGrows(t, measureLine(t, "memory of the fleet, 21,000 adapters twice", "endpoint", 1000, 10_000, plan.Servers,
		func(_ *testing.T, n int) float64 { return fleetMemory(n, plan.Adapters) }))
	assertGrows(t, measureLine(t, "memory of the fleet, 10,000 endpoints", "adapter", 2100, 21_000, plan.Adapters,
		func(_ *testing.T, n int) float64 { return fleetMemory(plan.Servers, n) }))
	assertGrows(t, measureLine(t, "memory of the directory", "adapter", 2100, 21_000, plan.Adapters, directoryMemory))
	assertGrows(t, measureLine(t, "memory of the burn counters", "customer", 10, 100, plan.Customers, burnMemory))
}

func fleetMemory(endpoints, adapters int) float64 {
	before := capacity.OwnMemory()
	f := newFleet(endpoints, adapters)
	after := capacity.OwnMemory()
	f.Current()
	return after - before
}

func modelID(i int) knapweedpulley.ModelID {
	return knapweedpulley.ModelID(fmt.Sprintf("model-%03d", i%capacity.Plan().Models))
}

// newFleet returns a fleet in which each adapter is loaded on two endpoints.
func newFleet(endpoints, adapters int) *endpoint.Fleet {
	f := endpoint.NewFleet("zone-00", zone.NewDistances(nil))
	const copies = 2
	for i := range endpoints {
		m := knapweedpulley.LoadedModel{Model: modelID(i), Size: knapweedpulley.GiB, State: knapweedpulley.StateLoaded}
		for c := i; c < adapters*copies; c += endpoints {
			m.Adapters = append(m.Adapters, knapweedpulley.LoadedAdapter{
				Adapter: knapweedpulley.AdapterID(fmt.Sprintf("adapter-%05d", c%adapters)), State: knapweedpulley.StateLoaded,
			})
		}
		f.Update(knapweedpulley.EndpointStatus{
			Endpoint: knapweedpulley.EndpointID(fmt.Sprintf("engine-%05d", i)),
			Machine:  knapweedpulley.MachineID(fmt.Sprintf("vm-engine-%05d", i)),
			Zone:     knapweedpulley.ZoneID(fmt.Sprintf("zone-%02d", i%capacity.Plan().Zones)),
			Engine:   knapweedpulley.EngineState{Slots: 1 << 20, Models: []knapweedpulley.LoadedModel{m}},
		})
	}
	return f
}

func directoryMemory(t *testing.T, adapters int) float64 {
	t.Helper()
	before := capacity.OwnMemory()
	d := newDirectory(t, adapters)
	after := capacity.OwnMemory()
	d.Current()
	return after - before
}

// newDirectory returns a directory of as many customers as the plan has for the given
// number of adapters, with 210 adapters each.
func newDirectory(t testing.TB, adapters int) *customer.Directory {
	t.Helper()
	d := customer.NewDirectory()
	plan := capacity.Plan()
	for i := range adapters * plan.Customers / plan.Adapters {
		is.New(t).NoErr(d.Apply(customerChange(t, i, 1)))
	}
	return d
}

func burnMemory(_ *testing.T, customers int) float64 {
	before := capacity.OwnMemory()
	history := burn.NewHistory(fixedNow)
	scope, closer := tally.NewRootScope(tally.ScopeOptions{CachedReporter: history, Separator: "_"}, time.Hour)
	meter := burn.NewMeter(scope)
	for i := range customers {
		meter.Record(burn.Event{Customer: customerID(i)})
	}
	_ = closer.Close()
	after := capacity.OwnMemory()
	history.Document("entry-1")
	return after - before
}
