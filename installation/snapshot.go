package installation

import (
	"math/rand/v2"
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/route"
)

// Snapshot is one version of the configuration, indexed by route and key. It is
// immutable.
type Snapshot struct {
	knapweedpulley.Installation
	table    *route.Table
	accounts map[knapweedpulley.KeyHash]*knapweedpulley.Account
	replaced chan struct{}
}

// NewSnapshot builds the indexes of a configuration.
func NewSnapshot(i knapweedpulley.Installation) *Snapshot {
	s := &Snapshot{
		Installation: i,
		table:        route.NewTable(i.Routes),
		accounts:     make(map[knapweedpulley.KeyHash]*knapweedpulley.Account),
		replaced:     make(chan struct{}),
	}
	for n := range i.Accounts {
		for _, k := range i.Accounts[n].Keys {
			s.accounts[k] = &i.Accounts[n]
		}
	}
	return s
}

// Replaced returns a channel that is closed when another version comes into force.
func (s *Snapshot) Replaced() <-chan struct{} {
	return s.replaced
}

// Admission is what the configuration determines for an admitted call.
type Admission struct {
	Route    knapweedpulley.Route
	Service  knapweedpulley.Service
	Account  *knapweedpulley.Account
	Priority int
	Version  knapweedpulley.Version
}

// Customer returns the customer of the call. It is absent if no key was needed.
func (a *Admission) Customer() knapweedpulley.Option[knapweedpulley.CustomerID] {
	if a.Account == nil {
		return knapweedpulley.None[knapweedpulley.CustomerID]()
	}
	return knapweedpulley.Some(a.Account.Customer)
}

// Customer returns the customer that holds a key.
func (s *Snapshot) Customer(key knapweedpulley.KeyHash) knapweedpulley.Option[knapweedpulley.CustomerID] {
	a, known := s.accounts[key]
	if !known {
		return knapweedpulley.None[knapweedpulley.CustomerID]()
	}
	return knapweedpulley.Some(a.Customer)
}

// Admit determines the route, the customer and the service of a call. It returns a
// refusal if no route matches, if the route needs a key and that is unknown, or if
// the route has no service.
func (s *Snapshot) Admit(c *knapweedpulley.Call) (Admission, error) {
	a, err := s.admitCaller(c)
	if err != nil {
		return Admission{}, err
	}
	a.Service = s.Services[pickService(a.Route.Shares)]
	if a.Service.ID == "" {
		return Admission{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun, "route %s has no service", a.Route.ID)
	}
	return a, nil
}

// Readmit admits a call that another version has admitted to a service. In addition to the refusals
// of Admit, it returns one if the call's route doesn't lead to that service.
func (s *Snapshot) Readmit(c *knapweedpulley.Call, service knapweedpulley.ServiceID) (Admission, error) {
	a, err := s.admitCaller(c)
	if err != nil {
		return Admission{}, err
	}
	if !slices.ContainsFunc(a.Route.Shares, func(s knapweedpulley.ServiceShare) bool { return s.Service == service }) {
		return Admission{}, knapweedpulley.NewRefusal(knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun,
			"route %s no longer leads to the service of the request", a.Route.ID)
	}
	a.Service = s.Services[service]
	return a, nil
}

// Reauthenticate returns an admission by another version with the customer that holds the call's key
// now, and the rest as it was. A call that was admitted without a key needs none.
func (s *Snapshot) Reauthenticate(c *knapweedpulley.Call, a Admission) (Admission, error) {
	a.Version = s.Version
	if a.Account == nil {
		return a, nil
	}
	return s.authenticate(c, a)
}

// admitCaller determines the route and the customer of a call.
func (s *Snapshot) admitCaller(c *knapweedpulley.Call) (Admission, error) {
	r, found := s.table.Match(c.Host, c.Path)
	if !found {
		return Admission{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeRouteNotFound, knapweedpulley.NotRun, "no route matches %s%s", c.Host, c.Path)
	}
	a := Admission{Route: r, Priority: r.Priority, Version: s.Version}
	if r.Public {
		return a, nil
	}
	return s.authenticate(c, a)
}

// authenticate returns an admission with the customer that holds the call's key, or a refusal if the
// key is unknown. Without accounts, calls need no key.
func (s *Snapshot) authenticate(c *knapweedpulley.Call, a Admission) (Admission, error) {
	a.Account, a.Priority = nil, a.Route.Priority
	if len(s.Accounts) == 0 {
		return a, nil
	}
	key, _ := c.Key.Get()
	account, known := s.accounts[key]
	if !known {
		return Admission{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun, "the key is unknown")
	}
	a.Account, a.Priority = account, account.Priority.Or(a.Route.Priority)
	return a, nil
}

// pickService picks a service at random by weight.
func pickService(shares []knapweedpulley.ServiceShare) knapweedpulley.ServiceID {
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	point := rand.Float64() * total //nolint:gosec // It needs no secrecy.
	for _, s := range shares {
		point -= s.Weight
		if point < 0 {
			return s.Service
		}
	}
	return ""
}
