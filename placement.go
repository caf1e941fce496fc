package knapweedpulley

import (
	"context"
	"time"
)

// EndpointSelector selects the endpoint for a request whose model is already loaded.
type EndpointSelector interface {
	// Choose returns an endpoint that can run r now and is not in avoid, or false
	// if there is none. Done must be called when the request has ended.
	Choose(r *Request, avoid Set[EndpointID]) (EndpointID, bool)
	// Assign counts a request that goes to an endpoint selected elsewhere. Done must
	// be called for it as well.
	Assign(r *Request, endpoint EndpointID)
	// Done records that a request that Choose or Assign counted for the endpoint has
	// ended.
	Done(r *Request, endpoint EndpointID)
}

// LoadRequest requests the load of a model, and of an adapter on it if one is
// named.
type LoadRequest struct {
	Model    ModelID
	Adapter  Option[AdapterID]
	Customer CustomerID
	Zone     ZoneID
	// Timeout is the time that the longest waiting request has left.
	Timeout time.Duration
}

// ModelLoader loads models on request. Concurrent requests for one model share a load.
type ModelLoader interface {
	// LoadModel loads the model, and the adapter if one is named, and returns the
	// endpoint that holds it.
	LoadModel(ctx context.Context, request LoadRequest) (EndpointID, error)
}

// Permit lists the endpoints that may hold a model. Those that hold it are always
// a subset.
type Permit struct {
	Model     ModelID      `json:"model"`
	Replicas  Replicas     `json:"replicas"`
	Endpoints []EndpointID `json:"endpoints"`
	// Releasing lists the endpoints that may hold the model until they confirm
	// that they no longer do.
	Releasing []EndpointID `json:"releasing,omitempty"`
	Revision  Revision     `json:"-"`
}

// Checkpoint describes the weights of a model or adapter.
type Checkpoint struct {
	Model   ModelID   `json:"model"`
	Adapter AdapterID `json:"adapter,omitempty"`
	Size    Bytes     `json:"size"`
}
