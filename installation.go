package knapweedpulley

import (
	"crypto/sha256"
	"time"
)

// ServiceID names a group of endpoints that run the same requests.
type ServiceID string

// KeyHash identifies a caller's key without revealing it.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(secret string) KeyHash {
	return sha256.Sum256([]byte(secret))
}

// RetrySafety says whether a request may be sent again after its first attempt.
type RetrySafety int

// Kinds of routes by whether their requests may be sent again.
const (
	// AtMostOnce requests run at most once.
	AtMostOnce RetrySafety = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Resumable streams may be continued on another endpoint after the last
	// event that reached the caller.
	Resumable
)

// ServiceShare is the part of a route's requests that goes to a service.
type ServiceShare struct {
	Service ServiceID
	Weight  float64
}

// Route assigns requests to services by host and path prefix.
type Route struct {
	ID     RouteID
	Host   string
	Prefix string
	// Public routes need no key.
	Public bool
	Stream bool
	Retry  RetrySafety
	// Timeout bounds how long a caller waits.
	Timeout time.Duration
	// LatencyTarget is the objective for the whole answer, or for the first event of a
	// stream.
	LatencyTarget time.Duration
	// EventGapTarget is the objective for the time between two events.
	EventGapTarget time.Duration
	// EventTimeout is how long callers wait for the first event, or for the next. It
	// is zero if they wait for the whole answer until their timeout.
	EventTimeout time.Duration
	// Priority ranks requests; zero is the most urgent.
	Priority int
	// MaxAttempts bounds the endpoints to which one request is sent.
	MaxAttempts int
	Shares      []ServiceShare
}

// Service is a group of endpoints as the operator configures it.
type Service struct {
	ID     ServiceID
	Engine Option[EngineSpec]
	// WarmUp limits the requests to endpoints that are cold. It is absent if the
	// endpoints are never cold.
	WarmUp Option[WarmUpLimit]
}

// WarmUpLimit is what an endpoint bears while it is cold.
type WarmUpLimit struct {
	// Duration is how long an endpoint is cold after its start.
	Duration time.Duration
	// RequestsPerSecond is the rate that a cold endpoint bears from all gateways
	// together.
	RequestsPerSecond float64
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Memory       Bytes
	AdapterSlots int
	// LoadsPerSecond is how many loads from the weight store may begin in a second.
	LoadsPerSecond float64
	Models         map[ModelID]ModelSpec
}

// ModelSpec describes a model and its adapters.
type ModelSpec struct {
	Model       ModelID
	Size        Bytes
	AdapterSize Bytes
	// RemoteLoadTime, DiskLoadTime and MemoryLoadTime are the load times from the
	// weight store, from a machine's disk and from its memory.
	RemoteLoadTime time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
}

// LoadTime returns the time that a load from a tier takes.
func (m ModelSpec) LoadTime(t CacheTier) time.Duration {
	switch t {
	case TierMemory:
		return m.MemoryLoadTime
	case TierDisk:
		return m.DiskLoadTime
	default:
		return m.RemoteLoadTime
	}
}

// Account is a customer in an installation.
type Account struct {
	Contract
	Keys []KeyHash
	// CountsTokens is set if the contract counts tokens and not requests.
	CountsTokens bool
	// DefaultCharge is the charge for a request without token counts.
	DefaultCharge Tokens
	// Priority overrides that of the route.
	Priority Option[int]
}

// CallerLimits bound what callers may send and how long they may take.
type CallerLimits struct {
	Header        Bytes
	Body          Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Exceeds reports whether a caller that complies with l may violate other. The
// limits of the body aren't compared.
func (l CallerLimits) Exceeds(other CallerLimits) bool {
	return l.Header > other.Header || l.HeaderTimeout > other.HeaderTimeout || l.IdleTimeout > other.IdleTimeout
}

// Installation is the configuration of a whole installation. It is immutable.
type Installation struct {
	Version  Version
	Routes   []Route
	Services map[ServiceID]Service
	Accounts []Account
	Limits   CallerLimits
}

// RegisteredEndpoint is an endpoint as it is registered in the store. Runs of an
// endpoint differ in the id or in the start.
type RegisteredEndpoint struct {
	ID       EndpointID
	Service  ServiceID
	Address  string
	Zone     ZoneID
	Draining bool
	// Start is when the endpoint started, in milliseconds of its wall clock.
	Start uint64
	Slots int
	// Evacuated is set while the operator wants no requests sent to the endpoint's
	// availability zone.
	Evacuated bool
	// ColdFor is how long the endpoint stays cold, from the arrival of the registration.
	ColdFor time.Duration
	// Arrived is when the registration arrived at the process.
	Arrived Instant
	// Models lists the models that the endpoint holds.
	Models []LoadedModel
	// Cached lists the checkpoints that the endpoint's machine holds outside the engine.
	Cached []CachedCheckpoint
}

// InstallationDecoder decodes the objects that the operator and the endpoints write
// into the store.
type InstallationDecoder interface {
	// Installation decodes the configuration.
	Installation(value []byte) (Installation, error)
	// Endpoint decodes the registration of an endpoint. It returns an error if
	// that doesn't describe a usable endpoint.
	Endpoint(id EndpointID, value []byte) (RegisteredEndpoint, error)
}
