package knapweedpulley

// RequestAdmission decides on requests that an earlier configuration has admitted.
type RequestAdmission interface {
	// Readmit returns a *Refusal if the configuration in force doesn't admit a request, and a channel
	// that is closed when another configuration comes into force.
	Readmit(r *Request) (replaced <-chan struct{}, err error)
}
