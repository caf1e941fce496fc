package customer

import (
	"github.com/knapweedpulley/knapweedpulley"
)

// Readmit implements knapweedpulley.RequestAdmission.
func (d *Directory) Readmit(r *knapweedpulley.Request) (<-chan struct{}, error) {
	s := d.Current()
	if refusal := s.checkRequest(r); refusal != nil {
		return s.Superseded(), refusal
	}
	return s.Superseded(), nil
}

// checkRequest returns a refusal if a request's customer has no longer the key, the model, the adapter
// or the route of the request.
func (s *Snapshot) checkRequest(r *knapweedpulley.Request) *knapweedpulley.Refusal {
	if r.Key != "" && !s.KeyValid(r.Customer, r.Key) {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun,
			"the API key of the request was withdrawn")
	}
	c, _ := s.Customer(r.Customer)
	switch {
	case r.Kind == knapweedpulley.KindService && !s.hasRoute(c, r):
		return knapweedpulley.NewRefusal(knapweedpulley.CodeRouteNotFound, knapweedpulley.NotRun,
			"route %q is no longer a route of this customer", r.Route)
	case r.Kind == knapweedpulley.KindChat && !c.hasModel(r):
		return knapweedpulley.NewRefusal(knapweedpulley.CodeModelNotFound, knapweedpulley.NotRun,
			"model %q is no longer a model of this customer", r.Adapter.Or(knapweedpulley.AdapterID(r.Model)))
	default:
		return nil
	}
}

// hasRoute reports whether a request may use its route, which must be open if the request came without
// a key. The customer is nil if it is gone.
func (s *Snapshot) hasRoute(c *Customer, r *knapweedpulley.Request) bool {
	if r.Key == "" {
		owner, _, open := s.OpenRoute(r.Route)
		return open && owner.ID == r.Customer
	}
	return c != nil && c.Routes[r.Route] != nil
}

// hasModel reports whether the customer has the model and the adapter of a request. A customer that is
// gone, nil, has none.
func (c *Customer) hasModel(r *knapweedpulley.Request) bool {
	if c == nil {
		return false
	}
	id, needed := r.Adapter.Get()
	if !needed {
		return c.Models[r.Model] != nil
	}
	a := c.Adapters[id]
	return a != nil && a.Model == r.Model
}
