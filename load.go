package knapweedpulley

import "context"

// LoadResponse is the answer of the entry process that merges the load requests.
type LoadResponse struct {
	// Endpoint is the endpoint that holds the model. It is absent while the load is
	// in progress: the caller asks again, and keeps its place.
	Endpoint Option[EndpointID]
}

// LoadMerger merges the load requests of all entry processes for the models that
// it is responsible for.
type LoadMerger interface {
	// Join joins the load in progress, or starts one if there is none. It returns
	// after a short time even if the load is still in progress.
	Join(ctx context.Context, request LoadRequest) (LoadResponse, error)
}

// LoadForwarder forwards load requests to the entry process that merges them.
type LoadForwarder interface {
	// ForwardLoad has the given entry process join the load. An error that is not
	// a *Refusal means that no answer arrived.
	ForwardLoad(ctx context.Context, to Member, request LoadRequest) (LoadResponse, error)
}

// PermitSource provides the current permits.
type PermitSource interface {
	// Permit returns the permit of a model, and false if there is none.
	Permit(model ModelID) (Permit, bool)
	// Permits lists all permits, ordered by model. The slice is shared and must
	// not be changed.
	Permits() []Permit
}

// EndpointLinks gives access to the agents of the endpoints.
type EndpointLinks interface {
	// Link returns the link to the agent of an endpoint, and false if there is
	// none.
	Link(endpoint EndpointID) (EndpointLink, bool)
}

// CheckpointSource describes the checkpoints in the weight store.
type CheckpointSource interface {
	// Checkpoint describes the weights of a model, or of an adapter on it, and
	// returns false if they are unknown.
	Checkpoint(model ModelID, adapter Option[AdapterID]) (Checkpoint, bool)
}

// Endpoints is an entry's view of the endpoints.
type Endpoints interface {
	// Holders appends the endpoints on which a model, and an adapter on it if
	// one is named, is loaded, nearest first.
	Holders(list []EndpointStatus, model ModelID, adapter Option[AdapterID]) []EndpointStatus
	// Status returns the last report of an endpoint, and false if it is down,
	// leaving or unknown.
	Status(endpoint EndpointID) (EndpointStatus, bool)
	// Load returns the estimated number of requests that run or wait there.
	Load(endpoint EndpointID) int
	// Current returns the last reports of all endpoints, ordered by id.
	Current() []EndpointStatus
}

// LoadPolicy ranks the endpoints on which a model could be loaded.
type LoadPolicy interface {
	// Rank returns the given endpoints that can be used, best first.
	Rank(request LoadRequest, c Checkpoint, endpoints []EndpointStatus) []LoadOption
}

// LoadOption is an endpoint on which a model could be loaded.
type LoadOption struct {
	Endpoint EndpointID
	// Tier is the tier in which the endpoint's machine finds the checkpoint.
	Tier CacheTier
}
