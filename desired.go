package knapweedpulley

// DesiredModel is the desired state of a model, as the customers' templates give
// it.
type DesiredModel struct {
	Model    ModelID
	Replicas Replicas
	Size     Bytes
}

// DesiredModelSource provides the desired state that the templates in force give.
type DesiredModelSource interface {
	// DesiredModels returns the desired state of all models, ordered by model. The
	// slice is shared and must not be changed.
	DesiredModels() []DesiredModel
}

// DepartureView tells which endpoints have certainly ended.
type DepartureView interface {
	// Gone reports whether the machine of an endpoint has left the platform's
	// list for longer than the lease time.
	Gone(endpoint EndpointID) bool
}
