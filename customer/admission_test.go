package customer_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// assertReadmitted asserts what a directory says of a request after its customer's record has changed.
// An empty code stands for no refusal.
func assertReadmitted(
	t *testing.T, r knapweedpulley.Request, change func(customer.Record) (customer.Record, error), code knapweedpulley.Code,
) {
	t.Helper()
	is := is.New(t)
	d := customer.NewDirectory()
	first := assertIssued(t, assertApplied(t, customer.Record{}, workshopTemplate, newParameters("rate", "2000", "language", `"de"`)))
	is.NoErr(d.Apply(newChange(t, "workshop", 1, first)))
	r.Customer = "workshop"
	replaced, err := d.Readmit(&r)
	is.NoErr(err)
	next, err := change(first)
	is.NoErr(err)
	is.NoErr(d.Apply(newChange(t, "workshop", 2, next)))
	<-replaced
	_, err = d.Readmit(&r)
	if code == "" {
		is.NoErr(err)
		return
	}
	var refusal *knapweedpulley.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code, code)
	is.Equal(refusal.Verdict, knapweedpulley.NotRun)
}

// replaceInTemplate returns a change that replaces a part of the template.
func replaceInTemplate(old, replacement string) func(customer.Record) (customer.Record, error) {
	return func(r customer.Record) (customer.Record, error) {
		template := json.RawMessage(strings.Replace(workshopTemplate, old, replacement, 1))
		return r.Apply(testAuthor(), template, newParameters("rate", "2000", "language", `"de"`))
	}
}

func TestReadmit(t *testing.T) {
	onModel := knapweedpulley.Request{Kind: knapweedpulley.KindChat, Key: "counter", Model: "gas-mixes"}
	onAdapter := onModel
	onAdapter.Adapter = knapweedpulley.Some[knapweedpulley.AdapterID]("gas-mixes-de")
	onRoute := knapweedpulley.Request{Kind: knapweedpulley.KindService, Key: "counter", Route: "ledger"}
	onOpenRoute := knapweedpulley.Request{Kind: knapweedpulley.KindService, Route: "catalog"}
	withdraw := func(r customer.Record) (customer.Record, error) { return r.WithdrawKey(testAuthor(), "counter") }

	t.Run("a change that leaves all that a request needs", func(t *testing.T) {
		for _, r := range []knapweedpulley.Request{onModel, onAdapter, onRoute, onOpenRoute} {
			assertReadmitted(t, r, replaceInTemplate("4000", "5000"), "")
		}
	})
	t.Run("a key that is withdrawn", func(t *testing.T) {
		assertReadmitted(t, onModel, withdraw, knapweedpulley.CodeInvalidKey)
		assertReadmitted(t, onRoute, withdraw, knapweedpulley.CodeInvalidKey)
		assertReadmitted(t, onOpenRoute, withdraw, "")
	})
	t.Run("a model that is gone", func(t *testing.T) {
		adapterToo := func(r customer.Record) (customer.Record, error) {
			template := strings.NewReplacer(`"gas-mixes", "size": 1000`, `"other", "size": 1000`, `"model": "gas-mixes"`, `"model": "other"`).
				Replace(workshopTemplate)
			return r.Apply(testAuthor(), json.RawMessage(template), newParameters("rate", "2000", "language", `"de"`))
		}
		assertReadmitted(t, onModel, adapterToo, knapweedpulley.CodeModelNotFound)
		assertReadmitted(t, onAdapter, adapterToo, knapweedpulley.CodeModelNotFound)
	})
	t.Run("an adapter that is gone", func(t *testing.T) {
		gone := replaceInTemplate("gas-mixes-${language}", "gas-mixes-en-${language}")
		assertReadmitted(t, onAdapter, gone, knapweedpulley.CodeModelNotFound)
		assertReadmitted(t, onModel, gone, "")
	})
	t.Run("a route that is gone", func(t *testing.T) {
		assertReadmitted(t, onRoute, replaceInTemplate("ledger", "accounts"), knapweedpulley.CodeRouteNotFound)
	})
	t.Run("a route that is no longer open", func(t *testing.T) {
		closed := replaceInTemplate(`"access": "open"`, `"access": "keyed"`)
		assertReadmitted(t, onOpenRoute, closed, knapweedpulley.CodeRouteNotFound)
		withKey := onOpenRoute
		withKey.Key = "counter"
		assertReadmitted(t, withKey, closed, "")
	})
}
