package knapweedpulley

import (
	"context"
	"time"
)

// LoadState is the state of a model or adapter in an engine.
type LoadState string

// States of a model or adapter.
const (
	StateLoading   LoadState = "loading"
	StateLoaded    LoadState = "loaded"
	StateUnloading LoadState = "unloading"
)

// CacheTier is the storage tier that holds a checkpoint; lower tiers load faster.
type CacheTier int

// Tiers of checkpoint caches.
const (
	TierMemory CacheTier = iota + 1
	TierDisk
	TierRemote
)

// Name returns the tier as it appears in logs.
func (t CacheTier) Name() string {
	switch t {
	case TierMemory:
		return "memory"
	case TierDisk:
		return "disk"
	default:
		return "remote"
	}
}

// LoadedModel is a model that occupies an engine's memory.
type LoadedModel struct {
	Model    ModelID
	Size     Bytes
	State    LoadState
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter that occupies an engine's memory.
type LoadedAdapter struct {
	Adapter AdapterID
	Size    Bytes
	State   LoadState
}

// CachedCheckpoint is a checkpoint that a machine holds outside the engine.
type CachedCheckpoint struct {
	Model ModelID
	Tier  CacheTier
}

// EngineState is what an engine reports about itself.
type EngineState struct {
	Memory Bytes
	Models []LoadedModel
	Cached []CachedCheckpoint
	// Running and Waiting count requests. They lag behind the actual numbers.
	Running int
	Waiting int
	// Slots is the number of requests the engine batches at once.
	Slots int
	// Starts counts the engine's starts; it grows when the engine crashes.
	Starts uint64
	// FencingToken is the highest token seen, zero if the engine ignores them.
	FencingToken FencingToken
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Orders to an engine.
const (
	OrderLoadModel     OrderKind = "loadModel"
	OrderUnloadModel   OrderKind = "unloadModel"
	OrderLoadAdapter   OrderKind = "loadAdapter"
	OrderUnloadAdapter OrderKind = "unloadAdapter"
)

// Order tells an engine to load or unload a model or an adapter.
type Order struct {
	Kind    OrderKind
	Model   ModelID
	Adapter AdapterID
	// Size is the memory that the model or adapter takes.
	Size Bytes
	// Permit is the revision of the permit that an entry acts on. It is zero in
	// orders from an agent to its engine.
	Permit Revision
	Token  FencingToken
	// Timeout is how long the caller waits for the outcome.
	Timeout time.Duration
}

// Engine is a model engine as its agent sees it.
type Engine interface {
	Backend
	// State reads the engine's state.
	State(ctx context.Context) (EngineState, error)
	// Order sends an order and waits until it is carried out.
	Order(ctx context.Context, o Order) error
}

// EndpointStatus is what an agent reports to the entries.
type EndpointStatus struct {
	Endpoint    EndpointID
	Machine     MachineID
	Zone        ZoneID
	Incarnation Incarnation
	Draining    bool
	// Routes lists the plain services beside the agent. It is empty for an engine.
	Routes []RouteID
	Engine EngineState
	// FreeMemory is the memory that is not reserved in the agent's ledger.
	FreeMemory Bytes
	// Queued and Running count the agent's own requests.
	Queued  int
	Running int
	// QueuedTokens is the sum of the charges of the queued requests.
	QueuedTokens Tokens
	// Crashes holds the last crashes of the engine.
	Crashes []SuspectReport
}

// EndpointLink is an entry's link to the agent of one endpoint.
type EndpointLink interface {
	Backend
	// Order asks the agent to load or unload and waits for the outcome.
	Order(ctx context.Context, o Order) error
	// Status returns the agent's last report, and false if there is none or
	// the link is down.
	Status() (EndpointStatus, bool)
}

// EndpointAgent is what an agent offers to the entries over a link.
type EndpointAgent interface {
	Backend
	// Order carries out an order of an entry and waits for the outcome.
	Order(ctx context.Context, o Order) error
	// Status returns the agent's current state.
	Status() EndpointStatus
}

// StatusReceiver receives the reports that arrive over the links to the agents.
type StatusReceiver interface {
	// Update receives an agent's report.
	Update(s EndpointStatus)
	// Remove is called when the link to the endpoint is down.
	Remove(endpoint EndpointID)
}
