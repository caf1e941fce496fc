package installation

import (
	"math/rand/v2"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/route"
)

// Snapshot is one version of the configuration, indexed by route and key. It is
// immutable.
type Snapshot struct {
	knapweedpulley.Installation
	table    *route.Table
	accounts map[knapweedpulley.KeyHash]*knapweedpulley.Account
}

// NewSnapshot builds the indexes of a configuration.
func NewSnapshot(i knapweedpulley.Installation) *Snapshot {
	s := &Snapshot{
		Installation: i,
		table:        route.NewTable(i.Routes),
		accounts:     make(map[knapweedpulley.KeyHash]*knapweedpulley.Account),
	}
	for n := range i.Accounts {
		for _, k := range i.Accounts[n].Keys {
			s.accounts[k] = &i.Accounts[n]
		}
	}
	return s
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

// Admit determines the route, the customer and the service of a call. It returns a
// refusal if no route matches, if the route needs a key and that is unknown, or if
// the route has no service.
func (s *Snapshot) Admit(c *knapweedpulley.Call) (Admission, error) {
	r, found := s.table.Match(c.Host, c.Path)
	if !found {
		return Admission{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeRouteNotFound, knapweedpulley.NotRun, "no route matches %s%s", c.Host, c.Path)
	}
	a := Admission{Route: r, Priority: r.Priority, Version: s.Version}
	if !r.Public && len(s.Accounts) > 0 {
		key, _ := c.Key.Get()
		account, known := s.accounts[key]
		if !known {
			return Admission{}, knapweedpulley.NewRefusal(
				knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun, "the key is unknown")
		}
		a.Account = account
		a.Priority = account.Priority.Or(r.Priority)
	}
	a.Service = s.Services[pickService(r.Shares)]
	if a.Service.ID == "" {
		return Admission{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeNoEndpoint, knapweedpulley.NotRun, "route %s has no service", r.ID)
	}
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
