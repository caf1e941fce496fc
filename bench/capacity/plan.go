package capacity

// Size is the size of a deployment.
type Size struct {
	Entries   int
	Servers   int
	Models    int
	Adapters  int
	Customers int
	Regions   int
	Zones     int
	// RequestsPerSecond is the peak rate of requests.
	RequestsPerSecond float64
	// ChangesPerDay is the rate of configuration changes.
	ChangesPerDay float64
}

// Plan returns the size that the system is designed for. The plan does not set the
// number of customers; the measurements assume 100 customers with 210 adapters each.
func Plan() Size {
	return Size{
		Entries:           3900,
		Servers:           10_000,
		Models:            170,
		Adapters:          21_000,
		Customers:         100,
		Regions:           11,
		Zones:             29,
		RequestsPerSecond: 44_000,
		ChangesPerDay:     88_000,
	}
}

// Machines returns the number of VMs in the platform's list.
func (s Size) Machines() int {
	return s.Entries + s.Servers
}

// Budget is what one node may spend on the control plane.
type Budget struct {
	// CoreShare is the fraction of one processor core.
	CoreShare float64
	// Memory is in bytes.
	Memory float64
	// Traffic is in bytes per second.
	Traffic float64
}

// PlanBudget returns the budget of a node at the planned size.
func PlanBudget() Budget {
	return Budget{CoreShare: 0.019, Memory: 64e6, Traffic: 7e3}
}
