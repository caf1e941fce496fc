package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/store"
)

const (
	operatorID knapweedpulley.OperatorID = "demo"
	keyID      knapweedpulley.KeyID      = "demo"
)

// configure writes a record with a new API key for each customer to the object
// store, in the form in which the admin API writes it.
func (f *Fleet) configure(ctx context.Context) error {
	objects, cleanup, err := store.NewClient(store.Settings{Address: f.platform.objects})
	if err != nil {
		return err
	}
	defer cleanup()
	for _, c := range f.Deployment.Customers {
		added, record, err := newCustomer(c)
		if err != nil {
			return err
		}
		value, err := record.Encode()
		if err != nil {
			return err
		}
		if _, err := objects.Put(ctx, knapweedpulley.KindCustomers, string(added.ID), value, 0); err != nil {
			return errors.Wrapf(err, "write customer %s", added.ID)
		}
		f.Customers = append(f.Customers, added)
	}
	return nil
}

// newCustomer returns a customer with a new API key, and the record to store for
// it.
func newCustomer(c CustomerFixture) (Customer, customer.Record, error) {
	author := customer.Author{Operator: operatorID, Time: time.Now(), Change: "demo"}
	template, err := customer.Resolve(c.Template, c.Parameters)
	if err != nil {
		return Customer{}, customer.Record{}, err
	}
	record, err := customer.Record{}.Apply(author, c.Template, c.Parameters)
	if err != nil {
		return Customer{}, record, err
	}
	secret := customer.NewSecret()
	record, err = record.IssueKey(author, keyID, customer.HashOf(secret))
	return Customer{ID: template.Customer, Key: secret, Template: template}, record, err
}
