package fleet

// Current returns the endpoint that stands for the same run of an endpoint as e does. It is not e if
// the registration has lapsed and come back meanwhile. If the fleet doesn't have the run, it returns e.
func (f *Fleet) Current(e *Endpoint) *Endpoint {
	c, known := f.index.Load().byID[e.id]
	if !known || c.Registration().Start != e.Registration().Start {
		return e
	}
	return c
}
