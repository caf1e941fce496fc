package customer

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

// Customer is the configuration of a customer that requests are checked against. It is immutable.
type Customer struct {
	ID       knapweedpulley.CustomerID
	Version  knapweedpulley.Version
	Weight   knapweedpulley.Weight
	Rate     knapweedpulley.TokensPerSecond
	Burst    knapweedpulley.Tokens
	Deadline time.Duration
	MaxBody  knapweedpulley.Bytes
	Models   map[knapweedpulley.ModelID]*Model
	Adapters map[knapweedpulley.AdapterID]*Adapter
	Routes   map[knapweedpulley.RouteID]*Route
	// keys holds the hashes of the keys that are not withdrawn.
	keys map[knapweedpulley.KeyID]Hash
}

// Model is a base model that a customer uses.
type Model struct {
	ID   knapweedpulley.ModelID
	Size knapweedpulley.Bytes
	// Replicas is the maximum number of endpoints that may hold the model.
	Replicas knapweedpulley.Replicas
	// ColdStart is the objective for the time to load the model.
	ColdStart time.Duration
}

// Adapter is an adapter on a base model.
type Adapter struct {
	ID    knapweedpulley.AdapterID
	Model knapweedpulley.ModelID
	Size  knapweedpulley.Bytes
}

// Route is a route to a plain service.
type Route struct {
	ID         knapweedpulley.RouteID
	Idempotent bool
	Open       bool
	Deadline   time.Duration
}

// NewCustomer returns the customer that a record describes, or an error if its template and
// parameters are invalid.
func NewCustomer(r Record) (*Customer, error) {
	t, err := r.Resolve()
	if err != nil {
		return nil, err
	}
	c := &Customer{
		ID: t.Customer, Version: r.Version, Weight: t.Weight, Rate: t.Rate, Burst: t.Burst,
		Deadline: time.Duration(t.Deadline), MaxBody: t.MaxBody,
		Models:   make(map[knapweedpulley.ModelID]*Model, len(t.Models)),
		Adapters: make(map[knapweedpulley.AdapterID]*Adapter, len(t.Adapters)),
		Routes:   make(map[knapweedpulley.RouteID]*Route, len(t.Routes)),
		keys:     make(map[knapweedpulley.KeyID]Hash, len(r.Keys)),
	}
	for _, m := range t.Models {
		c.Models[m.ID] = &Model{ID: m.ID, Size: m.Size, Replicas: m.Replicas, ColdStart: time.Duration(m.ColdStart)}
	}
	for _, a := range t.Adapters {
		c.Adapters[a.ID] = &Adapter{ID: a.ID, Model: a.Model, Size: a.Size}
	}
	for _, route := range t.Routes {
		c.Routes[route.ID] = c.newRoute(route)
	}
	for _, k := range r.Keys {
		if !k.Withdrawn {
			c.keys[k.ID] = k.Hash
		}
	}
	return c, nil
}

func (c *Customer) newRoute(t RouteTemplate) *Route {
	r := &Route{ID: t.ID, Idempotent: t.Idempotent, Open: t.Access == AccessOpen, Deadline: time.Duration(t.Deadline)}
	if r.Deadline == 0 {
		r.Deadline = c.Deadline
	}
	return r
}
