package admin

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/store"
)

// writeTimeout bounds a write, including its retries and the reads that determine its
// outcome.
const writeTimeout = 10 * time.Second

// errUnchanged aborts a change that would leave the record as it is.
var errUnchanged = errors.New("the record is unchanged")

// Application is a template with its parameters that an operator applies.
type Application struct {
	Customer   knapweedpulley.CustomerID
	Template   json.RawMessage
	Parameters customer.Parameters
	// Expected is the version that the change must replace. Without it, the change
	// replaces any version.
	Expected knapweedpulley.Option[knapweedpulley.Version]
}

// Result is the result of a change.
type Result struct {
	Customer knapweedpulley.CustomerID `json:"customer"`
	Version  knapweedpulley.Version    `json:"version"`
	// Unchanged is set if the record already had the content, so that nothing was
	// written.
	Unchanged bool `json:"unchanged,omitempty"`
	Acknowledgement
	Differences []Difference `json:"differences"`
}

// IssuedKey is a new key with its secret. The secret is not stored and is returned
// only here.
type IssuedKey struct {
	Result
	ID     knapweedpulley.KeyID `json:"id"`
	Secret string               `json:"secret"`
}

// EditorOptions holds the dependencies of an editor.
type EditorOptions struct {
	Objects    knapweedpulley.ObjectStore
	Directory  *customer.Directory
	Acceptance *Acceptance
	// Log receives an audit line for each change.
	Log log.Interface
	// Now returns the time of day.
	Now func() time.Time
}

// Editor changes the configuration of customers. Its errors are
// *knapweedpulley.Refusal, with the verdict MayHaveRun only if a change may
// have taken effect.
type Editor struct {
	options EditorOptions
}

// NewEditor returns an editor.
func NewEditor(o EditorOptions) *Editor {
	return &Editor{options: o}
}

// Customers returns the versions and rates in force at this entry.
func (e *Editor) Customers() []CustomerSummary {
	result := []CustomerSummary{}
	for _, c := range e.options.Directory.Current().Customers() {
		result = append(result, CustomerSummary{Customer: c.ID, Version: c.Version, Rate: c.Rate, Burst: c.Burst})
	}
	return result
}

// Record returns the stored record of a customer. The error is a refusal if there is
// no such customer.
func (e *Editor) Record(ctx context.Context, id knapweedpulley.CustomerID) (customer.Record, error) {
	r, err := e.read(ctx, id)
	if err == nil && r.Version == 0 {
		return r, notFound(id)
	}
	return r, err
}

// DryRun returns what Apply would change, without changing it.
func (e *Editor) DryRun(ctx context.Context, a Application) (Result, error) {
	old, err := e.read(ctx, a.Customer)
	if err != nil {
		return Result{}, err
	}
	next, err := e.apply(old, a, customer.Author{})
	if errors.Is(err, errUnchanged) {
		return Result{Customer: a.Customer, Version: old.Version, Unchanged: true, Differences: []Difference{}}, nil
	}
	if err != nil {
		return Result{}, err
	}
	return Result{Customer: a.Customer, Version: next.Version, Differences: differences(old, next)}, nil
}

// Apply puts a template with its parameters in force.
func (e *Editor) Apply(
	ctx context.Context, operator knapweedpulley.OperatorID, a Application,
) (Result, error) {
	return e.change(ctx, operator, customer.ActionApply, a.Customer,
		func(old customer.Record, author customer.Author) (customer.Record, error) {
			return e.apply(old, a, author)
		})
}

// Rollback puts an earlier version in force again, as a new version.
func (e *Editor) Rollback(
	ctx context.Context, operator knapweedpulley.OperatorID,
	id knapweedpulley.CustomerID, version knapweedpulley.Version,
) (Result, error) {
	return e.change(ctx, operator, customer.ActionRollback, id, requireExisting(id,
		func(old customer.Record, author customer.Author) (customer.Record, error) {
			return old.Rollback(author, version)
		}))
}

// IssueKey adds a key and returns its secret.
func (e *Editor) IssueKey(
	ctx context.Context, operator knapweedpulley.OperatorID,
	id knapweedpulley.CustomerID, key knapweedpulley.KeyID,
) (IssuedKey, error) {
	secret := customer.NewSecret()
	result, err := e.change(ctx, operator, customer.ActionIssueKey, id, requireExisting(id,
		func(old customer.Record, author customer.Author) (customer.Record, error) {
			return old.IssueKey(author, key, customer.HashOf(secret))
		}))
	if err != nil {
		return IssuedKey{}, err
	}
	return IssuedKey{Result: result, ID: key, Secret: secret}, nil
}

// WithdrawKey withdraws a key permanently. A second withdrawal changes nothing.
func (e *Editor) WithdrawKey(
	ctx context.Context, operator knapweedpulley.OperatorID,
	id knapweedpulley.CustomerID, key knapweedpulley.KeyID,
) (Result, error) {
	return e.change(ctx, operator, customer.ActionWithdrawKey, id, requireExisting(id,
		func(old customer.Record, author customer.Author) (customer.Record, error) {
			i := slices.IndexFunc(old.Keys, func(k customer.Key) bool { return k.ID == key })
			if i >= 0 && old.Keys[i].Withdrawn {
				return old, errUnchanged
			}
			return old.WithdrawKey(author, key)
		}))
}

// mutation returns the record that replaces old. It may be called several times for
// one change.
type mutation func(old customer.Record, author customer.Author) (customer.Record, error)

// requireExisting returns a mutation that refuses a customer that does not exist.
func requireExisting(id knapweedpulley.CustomerID, m mutation) mutation {
	return func(old customer.Record, author customer.Author) (customer.Record, error) {
		if old.Version == 0 {
			return old, notFound(id)
		}
		return m(old, author)
	}
}

// apply returns the record that results from an application. The error is
// errUnchanged if it has the same content.
func (e *Editor) apply(old customer.Record, a Application, author customer.Author) (customer.Record, error) {
	if expected, ok := a.Expected.Get(); ok && expected != old.Version {
		return old, knapweedpulley.NewRefusal(knapweedpulley.CodeConflict, knapweedpulley.NotRun,
			"customer %s is at version %s, but the change expects version %s", a.Customer, old.Version, expected)
	}
	next, err := old.Apply(author, a.Template, a.Parameters)
	if err != nil {
		return old, invalid(err)
	}
	if sameContent(old, next) {
		return old, errUnchanged
	}
	if err := checkConflicts(e.options.Directory.Current(), a.Customer, next); err != nil {
		return old, err
	}
	return next, nil
}

// change writes one change, waits until it is accepted and records it in the audit log.
func (e *Editor) change(
	ctx context.Context, operator knapweedpulley.OperatorID, action customer.Action,
	id knapweedpulley.CustomerID, m mutation,
) (Result, error) {
	author := customer.Author{
		Operator: operator, Time: e.options.Now().UTC(), Change: knapweedpulley.ChangeID(uuid.NewString()),
	}
	w := recordWrite{author: author, mutation: m}
	object, err := w.run(ctx, e.options.Objects, id)
	if err != nil && !errors.Is(err, errUnchanged) {
		err = refusalOf(err)
		e.audit(action, id, author, Result{}, err)
		return Result{}, err
	}
	result := Result{
		Customer: id, Version: w.next.Version, Unchanged: w.unchanged, Differences: differences(w.old, w.next),
	}
	result.Acknowledgement = e.options.Acceptance.Wait(ctx, knapweedpulley.KindCustomers, object.Revision)
	e.audit(action, id, author, result, nil)
	return result, nil
}

// read returns the stored record of a customer, or an empty record if there is none.
func (e *Editor) read(ctx context.Context, id knapweedpulley.CustomerID) (customer.Record, error) {
	o, err := e.options.Objects.Get(ctx, knapweedpulley.KindCustomers, string(id))
	if errors.Is(err, knapweedpulley.ErrObjectNotFound) {
		return customer.Record{}, nil
	}
	if err != nil {
		return customer.Record{}, refusalOf(err)
	}
	r, err := customer.ParseRecord(o.Value)
	if err != nil {
		return r, refusalOf(err)
	}
	return r, nil
}

// audit logs a change that took effect or may have taken effect.
func (e *Editor) audit(
	action customer.Action, id knapweedpulley.CustomerID, author customer.Author, r Result, err error,
) {
	if r.Unchanged || (err != nil && knapweedpulley.VerdictOf(err) == knapweedpulley.NotRun) {
		return
	}
	entry := e.options.Log.WithFields(log.Fields{
		"audit": true, "action": string(action), "customer": string(id),
		"operator": string(author.Operator), "change": string(author.Change),
	})
	if err != nil {
		entry.WithError(err).Warn("configuration may have changed")
		return
	}
	entry.WithFields(log.Fields{
		"version": uint64(r.Version), "accepted": r.Accepted, "missing": len(r.Missing),
	}).Info("configuration changed")
}

// recordWrite is one change of a record in progress.
type recordWrite struct {
	author    customer.Author
	mutation  mutation
	old, next customer.Record
	unchanged bool
}

// run writes the change. If the record is changed concurrently, it makes the change
// again on the new record.
func (w *recordWrite) run(
	ctx context.Context, objects knapweedpulley.ObjectStore, id knapweedpulley.CustomerID,
) (knapweedpulley.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return store.Edit{
		Kind: knapweedpulley.KindCustomers, Name: string(id),
		Mutate: w.mutate, Applied: w.applied, DetectsOverwritten: true, RetryOnConflict: true,
	}.Write(ctx, objects)
}

func (w *recordWrite) mutate(current knapweedpulley.Object) ([]byte, error) {
	old := customer.Record{}
	if current.Revision != 0 {
		var err error
		if old, err = customer.ParseRecord(current.Value); err != nil {
			return nil, err
		}
	}
	next, err := w.mutation(old, w.author)
	w.unchanged = errors.Is(err, errUnchanged)
	w.old, w.next = old, next
	if w.unchanged {
		return nil, err
	}
	if err != nil {
		return nil, invalid(err)
	}
	value, err := next.Encode()
	if err != nil {
		return nil, invalid(err)
	}
	return value, nil
}

func (w *recordWrite) applied(value []byte) bool {
	r, err := customer.ParseRecord(value)
	return err == nil && r.Contains(w.author.Change)
}
