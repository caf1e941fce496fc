package soak

import "time"

// EndpointFault is a fault of an endpoint that goes on serving.
type EndpointFault int

// Faults of endpoints.
const (
	// Silent makes an endpoint send nothing, in the middle of an answer too, and then go on.
	Silent EndpointFault = iota
	endpointFaultCount
)

// String returns the name of the fault in reports.
func (f EndpointFault) String() string {
	return [...]string{"silent"}[f]
}

// Inject begins a fault that ends after d.
func (e *Endpoint) Inject(f EndpointFault, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultEnds[f] = time.Now().Add(d)
}

// faultLeft returns the time until a fault ends. It is negative if there is no such fault.
func (e *Endpoint) faultLeft(f EndpointFault) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.faultEnds[f])
}
