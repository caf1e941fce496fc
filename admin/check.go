package admin

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// checkConflicts refuses a record that conflicts with the records of other customers.
func checkConflicts(s *customer.Snapshot, id knapweedpulley.CustomerID, r customer.Record) error {
	t, err := r.Resolve()
	if err != nil {
		return invalid(err)
	}
	var f settings.Faults
	if t.Customer != id {
		f.Addf("customer", t.Customer, "must be %q, as in the path", id)
	}
	for _, k := range r.Keys {
		if owner, taken := s.KeyOwner(k.Hash, id); taken && !k.Withdrawn {
			f.In("keys[%s]", k.ID).Addf("hash", "", "must not be the hash of a key of customer %s", owner)
		}
	}
	for i, route := range t.Routes {
		if owner, _, ok := s.OpenRoute(route.ID); ok && owner.ID != id && route.Access == customer.AccessOpen {
			f.In("routes[%d]", i).Addf("id", route.ID, "must not be an open route of customer %s", owner.ID)
		}
	}
	for _, other := range s.Customers() {
		if other.ID != id {
			checkModels(&f, t, other)
		}
	}
	if err := f.Err(); err != nil {
		return invalid(err)
	}
	return nil
}

// checkModels requires that a model has the same size for both customers.
func checkModels(f *settings.Faults, t customer.Template, other *customer.Customer) {
	for i, m := range t.Models {
		if o, ok := other.Models[m.ID]; ok && o.Size != m.Size {
			f.In("models[%d]", i).Addf("size", int64(m.Size), "must be %d, as for customer %s", int64(o.Size), other.ID)
		}
	}
}

func sameContent(a, b customer.Record) bool {
	return a.Version != 0 && bytes.Equal(a.Template, b.Template) && a.Parameters.Equal(b.Parameters)
}

func notFound(id knapweedpulley.CustomerID) error {
	return knapweedpulley.NewRefusal(knapweedpulley.CodeCustomerNotFound, knapweedpulley.NotRun,
		"there is no customer %q", id)
}

// invalid returns the refusal of an invalid change. An err that is a refusal is
// returned as it is.
func invalid(err error) error {
	var r *knapweedpulley.Refusal
	if errors.As(err, &r) {
		return r
	}
	return knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidRequest, knapweedpulley.NotRun, "%s", err.Error())
}

// refusalOf returns the refusal for an error of a change. An error that is not a
// refusal means that the change did not run, unless the outcome of a write is unknown.
func refusalOf(err error) error {
	var r *knapweedpulley.Refusal
	switch {
	case errors.Is(err, knapweedpulley.ErrOutcomeUnknown):
		return knapweedpulley.NewRefusal(knapweedpulley.CodeStoreUnavailable, knapweedpulley.MayHaveRun,
			"the store did not confirm whether the change took effect; read the history before retrying: %s", err)
	case errors.As(err, &r):
		return r
	default:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeStoreUnavailable, knapweedpulley.NotRun,
			"nothing was changed: %s", err)
	}
}
