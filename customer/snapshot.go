package customer

import (
	"crypto/sha256"
	"slices"
	"strings"

	"github.com/knapweedpulley/knapweedpulley"
)

// credentialShards is the number of maps that hold the credentials, one for each value of the first
// byte of the hash. A change of a customer copies only the maps that it affects.
const credentialShards = 256

// Snapshot is the state of the directory at one time. It is immutable.
type Snapshot struct {
	customers   map[knapweedpulley.CustomerID]*Customer
	credentials [credentialShards]map[Hash]*credential
	sorted      []*Customer
	open        map[knapweedpulley.RouteID]openRoute
	models      map[knapweedpulley.ModelID]*Model
	superseded  chan struct{}
}

// credential is the customer and the key id that belong to a hash.
type credential struct {
	customer *Customer
	key      knapweedpulley.KeyID
	// next is the credential of another key with the same hash.
	next *credential
}

type openRoute struct {
	customer *Customer
	route    *Route
}

func newSnapshot() *Snapshot {
	return &Snapshot{superseded: make(chan struct{}), customers: make(map[knapweedpulley.CustomerID]*Customer)}
}

// Superseded returns a channel that is closed once the directory has a newer
// snapshot.
func (s *Snapshot) Superseded() <-chan struct{} {
	return s.superseded
}

// Authenticate returns the customer and the key id that belong to a secret. It returns false if no
// key has the secret, or if two keys share it.
func (s *Snapshot) Authenticate(secret string) (*Customer, knapweedpulley.KeyID, bool) {
	var buffer [maxSecretLength]byte
	if len(secret) == 0 || len(secret) > len(buffer) {
		return nil, "", false
	}
	n := copy(buffer[:], secret)
	h := Hash(sha256.Sum256(buffer[:n]))
	c, ok := s.credentials[h[0]][h]
	if !ok || c.next != nil {
		return nil, "", false
	}
	return c.customer, c.key, true
}

// KeyOwner returns a customer other than except that has a key with the given hash.
func (s *Snapshot) KeyOwner(h Hash, except knapweedpulley.CustomerID) (knapweedpulley.CustomerID, bool) {
	for c := s.credentials[h[0]][h]; c != nil; c = c.next {
		if c.customer.ID != except {
			return c.customer.ID, true
		}
	}
	return "", false
}

// Customer returns the customer with an id.
func (s *Snapshot) Customer(id knapweedpulley.CustomerID) (*Customer, bool) {
	c, ok := s.customers[id]
	return c, ok
}

// KeyValid reports whether a key of a customer exists and is not withdrawn.
func (s *Snapshot) KeyValid(customer knapweedpulley.CustomerID, key knapweedpulley.KeyID) bool {
	c, ok := s.customers[customer]
	if !ok {
		return false
	}
	_, ok = c.keys[key]
	return ok
}

// OpenRoute returns the route with an id that is open to all, and the customer it belongs to. If
// several customers have an open route with this id, it returns that of the customer whose id sorts
// first.
func (s *Snapshot) OpenRoute(id knapweedpulley.RouteID) (*Customer, *Route, bool) {
	o, ok := s.open[id]
	return o.customer, o.route, ok
}

// Customers returns all customers, ordered by id. The slice is shared and must
// not be changed.
func (s *Snapshot) Customers() []*Customer {
	return s.sorted
}

// Models returns the models of all customers. A model that several customers use has the largest of
// their sizes and replica counts and the shortest of their cold-start objectives. The map is shared
// and must not be changed.
func (s *Snapshot) Models() map[knapweedpulley.ModelID]*Model {
	return s.models
}

// buildIndexes derives the sorted list, the open routes and the models from the customers.
func (s *Snapshot) buildIndexes() {
	s.sorted = make([]*Customer, 0, len(s.customers))
	for _, c := range s.customers {
		s.sorted = append(s.sorted, c)
	}
	slices.SortFunc(s.sorted, func(a, b *Customer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	s.open = make(map[knapweedpulley.RouteID]openRoute)
	s.models = make(map[knapweedpulley.ModelID]*Model)
	for _, c := range s.sorted {
		s.addOpenRoutes(c)
		for _, m := range c.Models {
			s.models[m.ID] = mergeModels(s.models[m.ID], m)
		}
	}
}

func (s *Snapshot) addOpenRoutes(c *Customer) {
	for _, r := range c.Routes {
		if _, taken := s.open[r.ID]; r.Open && !taken {
			s.open[r.ID] = openRoute{customer: c, route: r}
		}
	}
}

// mergeModels combines the settings of two customers for the same model; a may be nil. A cold-start
// objective of zero means that a customer sets none.
func mergeModels(a, b *Model) *Model {
	if a == nil || *a == *b {
		return b
	}
	m := &Model{ID: a.ID, Size: max(a.Size, b.Size), Replicas: max(a.Replicas, b.Replicas)}
	m.ColdStart = max(a.ColdStart, b.ColdStart)
	if a.ColdStart > 0 && b.ColdStart > 0 {
		m.ColdStart = min(a.ColdStart, b.ColdStart)
	}
	return m
}
