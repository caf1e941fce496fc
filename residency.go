package knapweedpulley

import (
	"context"
	"slices"
	"time"
)

// LoadInProgress is an order that an engine carries out.
type LoadInProgress struct {
	Resident
	// Tier is where the weights come from.
	Tier CacheTier
	// Left is the time until the load ends, by its usual duration.
	Left time.Duration
}

// EngineReport is what the keeper of an engine tells the gateways.
type EngineReport struct {
	// Start is the engine's wall clock in milliseconds when it started.
	Start   uint64
	Models  []LoadedModel
	Cached  []CachedCheckpoint
	Loading []LoadInProgress
	// Queue is what waits to be loaded.
	Queue   []Resident
	Running int
	Waiting int
	// CacheUsed is the token memory that can't yield.
	CacheUsed Tokens
	CacheSize Tokens
	// Free is the memory that no model takes.
	Free Bytes
	// Evictable is the memory of models that no request uses at present, Spare
	// the part of it whose models are held elsewhere as well.
	Evictable Bytes
	Spare     Bytes
	// Gateways lists the gateways that attend the keeper, ordered by id.
	Gateways []Member
	// Lifetime is the age up to which the report holds: the next ones are due
	// well before.
	Lifetime time.Duration
}

// Holds reports whether a model, and an adapter if one is named, is ready.
func (r *EngineReport) Holds(w Resident) bool {
	return Holds(r.Models, w)
}

// Holds reports whether a list of models names w as loaded.
func Holds(models []LoadedModel, w Resident) bool {
	for _, m := range models {
		if m.Model != w.Model || m.State != StateLoaded {
			continue
		}
		if w.Adapter == "" {
			return true
		}
		for _, a := range m.Adapters {
			if a.Adapter == w.Adapter && a.State == StateLoaded {
				return true
			}
		}
	}
	return false
}

// Tier returns from where the engine would load a model.
func (r *EngineReport) Tier(model ModelID) CacheTier {
	tier := TierRemote
	for _, c := range r.Cached {
		if c.Model == model {
			tier = min(tier, c.Tier)
		}
	}
	return tier
}

// SameModels reports whether two lists name the same models and adapters in the
// same states.
func SameModels(a, b []LoadedModel) bool {
	return slices.EqualFunc(a, b, func(m, n LoadedModel) bool {
		return m.Model == n.Model && m.State == n.State && slices.Equal(m.Adapters, n.Adapters)
	})
}

// ResidentWake asks the keeper of an engine to load a model or an adapter.
type ResidentWake struct {
	Resident
	// Expires is the time after which the wake is of no use.
	Expires time.Duration
	// Priority ranks wakes; zero is the most urgent.
	Priority int
}

// ModelDemand tells the keeper how a gateway uses a model that it holds.
type ModelDemand struct {
	Resident
	// Active counts the requests at the engine or on their way to it.
	Active int
	// Rate is the gateway's requests a second for the model, at any endpoint.
	Rate float64
	// Holders counts the endpoints that hold the model.
	Holders int
	// Spare says that enough other endpoints hold the model.
	Spare bool
}

// GatewayNote is what a gateway tells the keeper of an engine.
type GatewayNote struct {
	// Gateway is the gateway that sends the note.
	Gateway Member
	// Endpoint is the id under which the engine is registered.
	Endpoint EndpointID
	// Engine is what the configuration says of the engine.
	Engine Option[EngineSpec]
	Wakes  []ResidentWake
	// Demands is the gateway's whole view of the models on the engine, if
	// Demanded is set.
	Demands  []ModelDemand
	Demanded bool
}

// OrderOutcome is an engine's answer to an order.
type OrderOutcome int

// Answers to orders.
const (
	// OrderUnknown says that the order may be carried out now or later.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted says that the order is being carried out.
	OrderAccepted
	// OrderHolds says that there is nothing left to do.
	OrderHolds
	// OrderRefused says that the order won't be carried out.
	OrderRefused
)

// String returns the outcome as it stands in logs.
func (o OrderOutcome) String() string {
	switch o {
	case OrderAccepted:
		return "accepted"
	case OrderHolds:
		return "holds"
	case OrderRefused:
		return "refused"
	default:
		return "unknown"
	}
}

// EngineReading is what an engine says of itself.
type EngineReading struct {
	EngineReport
	Endpoint EndpointID
	// Busy is set while an order is carried out.
	Busy bool
	// Sequence counts the orders that the engine accepted.
	Sequence uint64
}

// EngineOrder is an order that takes effect only at the expected state.
type EngineOrder struct {
	Kind OrderKind
	Resident
	Endpoint EndpointID
	Sequence uint64
	Token    FencingToken
}

// OrderedEngine is a model engine as its keeper sees it.
type OrderedEngine interface {
	// Read returns the engine's present state.
	Read(ctx context.Context) (EngineReading, error)
	// Place gives an order once. The error tells why the outcome is unknown.
	Place(ctx context.Context, o EngineOrder) (OrderOutcome, error)
}

// KeeperStream is a gateway's end of the stream to a keeper.
type KeeperStream interface {
	// Send sends a note.
	Send(n GatewayNote) error
	// Receive waits for the next report.
	Receive() (EngineReport, error)
}

// KeeperLink reaches the keepers of engines.
type KeeperLink interface {
	// Attend opens a stream to the keeper at an address that ends with ctx.
	Attend(ctx context.Context, address string) (KeeperStream, error)
}

// GatewayStream is a keeper's end of the stream from a gateway.
type GatewayStream interface {
	// Send sends a report.
	Send(r EngineReport) error
	// Receive waits for the next note.
	Receive() (GatewayNote, error)
}

// EngineKeeper serves gateways.
type EngineKeeper interface {
	// Attend serves one gateway until its stream ends.
	Attend(ctx context.Context, s GatewayStream) error
}

// AllowanceLink reaches the other gateways' parts of the customers' contracts.
type AllowanceLink interface {
	// Borrow asks a gateway for tokens of its part. What it gives has left its
	// part, whether or not the answer arrives.
	Borrow(ctx context.Context, from Member, customer CustomerID, n Tokens) (Tokens, error)
}

// AllowanceLender gives tokens of its parts to other gateways.
type AllowanceLender interface {
	// Lend returns up to n tokens and takes them from the part.
	Lend(customer CustomerID, n Tokens) Tokens
}
