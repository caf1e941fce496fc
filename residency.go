package knapweedpulley

import (
	"context"
	"slices"
	"time"
)

// LoadInProgress is a load that an engine is carrying out.
type LoadInProgress struct {
	Resident
	// Tier is the tier from which the weights are loaded.
	Tier CacheTier
	// Remaining is the time from the read of the engine until the load ends, estimated
	// from its usual duration.
	Remaining time.Duration
}

// EngineReport is the state of an engine that its keeper sends to the gateways.
type EngineReport struct {
	// Start is when the engine started, in milliseconds of its wall clock.
	Start   uint64
	Models  []LoadedModel
	Cached  []CachedCheckpoint
	Loading []LoadInProgress
	// Queue lists the models and adapters that wait to be loaded.
	Queue   []Resident
	Running int
	Waiting int
	// CacheUsed is the part of the token memory (the KV cache) that can't be freed
	// for other requests.
	CacheUsed Tokens
	CacheSize Tokens
	// Free is the memory that no model occupies.
	Free Bytes
	// Evictable is the memory of models that no request uses at present. Redundant
	// is the part of it whose models are held elsewhere as well.
	Evictable Bytes
	Redundant Bytes
	// Gateways lists the gateways from which the keeper has heard within Listing, ordered by id.
	Gateways []Member
	// Uptime is how long the keeper has run. It knows nothing of what it listed before.
	Uptime time.Duration
	// Heard is when the receiver sent the last message that the keeper has received, on the
	// receiver's clock. It is zero if there is none. The keeper lists the receiver for the duration
	// of Listing after the arrival of that message.
	Heard   Instant
	Listing time.Duration
	// Age is the time from the keeper's last read of the engine to the report. It grows
	// from report to report while the engine is silent.
	Age time.Duration
	// Lifetime is the age up to which the report is valid. The next reports are due
	// well before.
	Lifetime time.Duration
}

// Holds reports whether a model, and an adapter if one is named, is loaded.
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

// Tier returns the tier from which the engine would load a model.
func (r *EngineReport) Tier(model ModelID) CacheTier {
	return FastestTier(r.Cached, model)
}

// FastestTier returns the fastest tier in which cached lists a model. It is TierRemote if the
// model is not listed.
func FastestTier(cached []CachedCheckpoint, model ModelID) CacheTier {
	tier := TierRemote
	for _, c := range cached {
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

// ResidentLoadRequest requests that the keeper of an engine load a model or an adapter.
type ResidentLoadRequest struct {
	Resident
	// Expires is the time after which the load is of no use. Zero withdraws an earlier request.
	Expires time.Duration
	// Priority ranks the requests; zero is the most urgent.
	Priority int
}

// ModelDemand reports to a keeper how a gateway uses a model on the engine.
type ModelDemand struct {
	Resident
	// Active counts the requests at the engine or on their way to it.
	Active int
	// Rate is the gateway's requests per second for the model, at any endpoint.
	Rate float64
	// Holders counts the endpoints that hold the model.
	Holders int
	// Redundant is set if enough other endpoints hold the model.
	Redundant bool
}

// GatewayMessage is a message from a gateway to the keeper of an engine.
type GatewayMessage struct {
	// Gateway is the sender. Sent is when it sends the message, on its own clock.
	Gateway Member
	Sent    Instant
	// Endpoint is the id under which the engine is registered.
	Endpoint EndpointID
	// Engine is the engine's configuration.
	Engine       Option[EngineSpec]
	LoadRequests []ResidentLoadRequest
	// Demands is the gateway's demand for all models on the engine. It is valid if
	// HasDemands is set.
	Demands    []ModelDemand
	HasDemands bool
}

// OrderOutcome is an engine's answer to an order.
type OrderOutcome int

// Answers to orders.
const (
	// OrderUnknown means that the order may be carried out now or later.
	OrderUnknown OrderOutcome = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderHolds means that the engine's state already is as ordered.
	OrderHolds
	// OrderRefused means that the order won't be carried out.
	OrderRefused
)

// String returns the outcome as it appears in logs.
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

// EngineSnapshot is the state that an engine reports about itself.
type EngineSnapshot struct {
	EngineReport
	Endpoint EndpointID
	// Busy is set while an order is carried out.
	Busy bool
	// Sequence counts the orders that the engine accepted.
	Sequence uint64
}

// EngineOrder is an order that takes effect only if Endpoint and Sequence are
// those of the engine.
type EngineOrder struct {
	Kind OrderKind
	Resident
	Endpoint EndpointID
	Sequence uint64
	Token    FencingToken
}

// EngineClient is a model engine as its keeper sees it.
type EngineClient interface {
	// Read returns the engine's present state.
	Read(ctx context.Context) (EngineSnapshot, error)
	// Place sends an order once. The error says why the outcome is unknown.
	Place(ctx context.Context, o EngineOrder) (OrderOutcome, error)
}

// KeeperStream is a gateway's end of the stream to a keeper.
type KeeperStream interface {
	// Send sends a message to the keeper.
	Send(m GatewayMessage) error
	// Receive waits for the next report.
	Receive() (EngineReport, error)
}

// KeeperLink connects to the keepers of engines.
type KeeperLink interface {
	// OpenStream opens a stream to the keeper at an address. The stream ends with ctx.
	OpenStream(ctx context.Context, address string) (KeeperStream, error)
}

// GatewayStream is a keeper's end of the stream from a gateway.
type GatewayStream interface {
	// Send sends a report.
	Send(r EngineReport) error
	// Receive waits for the next message of the gateway.
	Receive() (GatewayMessage, error)
}

// EngineKeeper manages the models of an engine on behalf of the gateways.
type EngineKeeper interface {
	// ServeGateway serves one gateway until its stream ends.
	ServeGateway(ctx context.Context, s GatewayStream) error
}

// AllowanceLink borrows from the other gateways' parts of the customers' contracts.
type AllowanceLink interface {
	// Borrow requests tokens of a gateway's part and returns how many it lends.
	// They are deducted from its part, whether or not the answer arrives.
	Borrow(ctx context.Context, from Member, customer CustomerID, n Tokens) (Tokens, error)
	// Reserve takes the tokens for a call from a gateway's queue and waits there until the
	// call's turn. A grant takes the tokens whether or not the answer arrives. An error means
	// that the gateway has no queue for the customer or didn't answer.
	Reserve(ctx context.Context, at Member, r Reservation) (ReservationResult, error)
}

// AllowanceLender lends tokens of its parts to other gateways.
type AllowanceLender interface {
	// Lend deducts up to n tokens from the part and returns how many.
	Lend(customer CustomerID, n Tokens) Tokens
	// Reserve queues a call until its tokens are granted or it is refused. The end of ctx
	// frees its place. An error means that the gateway has no queue for the customer.
	Reserve(ctx context.Context, r Reservation) (ReservationResult, error)
}
