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

// writeTimeout bounds the time to find out what became of a write.
const writeTimeout = 10 * time.Second

// errUnchanged ends a change that would change nothing.
var errUnchanged = errors.New("nothing changes")

// Application is a template with its parameters that an operator applies.
type Application struct {
	Customer   knapweedpulley.CustomerID
	Template   json.RawMessage
	Parameters customer.Parameters
	// Expected is the version that the operator has seen. Without it, whatever
	// version is in force is replaced.
	Expected knapweedpulley.Option[knapweedpulley.Version]
}

// Result tells what a change did.
type Result struct {
	Customer knapweedpulley.CustomerID `json:"customer"`
	Version  knapweedpulley.Version    `json:"version"`
	// Unchanged is set if nothing had to be written.
	Unchanged bool `json:"unchanged,omitempty"`
	Acknowledgement
	Differences []Difference `json:"differences"`
}

// IssuedKey is a new key with its secret, which is told only here.
type IssuedKey struct {
	Result
	ID     knapweedpulley.KeyID `json:"id"`
	Secret string               `json:"secret"`
}

// EditorOptions says what an editor works with.
type EditorOptions struct {
	Objects    knapweedpulley.ObjectStore
	Directory  *customer.Directory
	Acceptance *Acceptance
	// Log gets a line per change.
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

// Customers returns what is in force here.
func (e *Editor) Customers() []CustomerSummary {
	result := []CustomerSummary{}
	for _, c := range e.options.Directory.Current().Customers() {
		result = append(result, CustomerSummary{Customer: c.ID, Version: c.Version, Rate: c.Rate, Burst: c.Burst})
	}
	return result
}

// Record returns the record of a customer as the store has it.
func (e *Editor) Record(ctx context.Context, id knapweedpulley.CustomerID) (customer.Record, error) {
	r, err := e.read(ctx, id)
	if err == nil && r.Version == 0 {
		return r, notFound(id)
	}
	return r, err
}

// DryRun returns what applying would change, and changes nothing.
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
	return e.change(ctx, operator, customer.ActionRollback, id, existing(id,
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
	result, err := e.change(ctx, operator, customer.ActionIssueKey, id, existing(id,
		func(old customer.Record, author customer.Author) (customer.Record, error) {
			return old.IssueKey(author, key, customer.HashOf(secret))
		}))
	if err != nil {
		return IssuedKey{}, err
	}
	return IssuedKey{Result: result, ID: key, Secret: secret}, nil
}

// WithdrawKey withdraws a key for good. Withdrawing it twice changes nothing.
func (e *Editor) WithdrawKey(
	ctx context.Context, operator knapweedpulley.OperatorID,
	id knapweedpulley.CustomerID, key knapweedpulley.KeyID,
) (Result, error) {
	return e.change(ctx, operator, customer.ActionWithdrawKey, id, existing(id,
		func(old customer.Record, author customer.Author) (customer.Record, error) {
			i := slices.IndexFunc(old.Keys, func(k customer.Key) bool { return k.ID == key })
			if i >= 0 && old.Keys[i].Withdrawn {
				return old, errUnchanged
			}
			return old.WithdrawKey(author, key)
		}))
}

// mutation returns the record that follows from an earlier one. It can be
// called several times for one change.
type mutation func(old customer.Record, author customer.Author) (customer.Record, error)

// existing refuses a mutation of a customer that does not exist.
func existing(id knapweedpulley.CustomerID, m mutation) mutation {
	return func(old customer.Record, author customer.Author) (customer.Record, error) {
		if old.Version == 0 {
			return old, notFound(id)
		}
		return m(old, author)
	}
}

// apply returns the record with an application made to it.
func (e *Editor) apply(old customer.Record, a Application, author customer.Author) (customer.Record, error) {
	if expected, ok := a.Expected.Get(); ok && expected != old.Version {
		return old, knapweedpulley.NewRefusal(knapweedpulley.CodeConflict, knapweedpulley.NotRun,
			"customer %s is at version %s, the change expects version %s", a.Customer, old.Version, expected)
	}
	next, err := old.Apply(author, a.Template, a.Parameters)
	if err != nil {
		return old, invalid(err)
	}
	if sameContent(old, next) {
		return old, errUnchanged
	}
	if err := checkAgainst(e.options.Directory.Current(), a.Customer, next); err != nil {
		return old, err
	}
	return next, nil
}

// change makes one change and waits until it is accepted.
func (e *Editor) change(
	ctx context.Context, operator knapweedpulley.OperatorID, action customer.Action,
	id knapweedpulley.CustomerID, m mutation,
) (Result, error) {
	author := customer.Author{
		Operator: operator, Time: e.options.Now().UTC(), Change: knapweedpulley.ChangeID(uuid.NewString()),
	}
	w := write{author: author, mutation: m}
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

// read returns the record of a customer, empty if there is none.
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

// audit records a change that was made, or may have been.
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

// write is one change of a record under way.
type write struct {
	author    customer.Author
	mutation  mutation
	old, next customer.Record
	unchanged bool
}

// run carries the change out, on top of whatever others write meanwhile.
func (w *write) run(
	ctx context.Context, objects knapweedpulley.ObjectStore, id knapweedpulley.CustomerID,
) (knapweedpulley.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return store.Edit{
		Kind: knapweedpulley.KindCustomers, Name: string(id),
		Mutate: w.mutate, Applied: w.applied, DetectsOverwritten: true, RetryOnConflict: true,
	}.Write(ctx, objects)
}

func (w *write) mutate(current knapweedpulley.Object) ([]byte, error) {
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

func (w *write) applied(value []byte) bool {
	r, err := customer.ParseRecord(value)
	return err == nil && r.Contains(w.author.Change)
}
