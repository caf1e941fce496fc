package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/burn"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/dispatch"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// validLease is a lease that is always valid.
type validLease struct{}

// Valid implements knapweedpulley.Lease.
func (validLease) Valid() bool { return true }

// noSuspects knows of no suspects.
type noSuspects struct {
	knapweedpulley.ContentSuspectList
}

// State implements knapweedpulley.SuspectList.
func (noSuspects) State(knapweedpulley.Fingerprint) knapweedpulley.SuspectState { return 0 }

// chargeRecorder records who is charged, and refuses each charge.
type chargeRecorder struct {
	charged []knapweedpulley.CustomerID
}

// Charge implements knapweedpulley.RateLimiter.
func (c *chargeRecorder) Charge(id knapweedpulley.CustomerID, _ knapweedpulley.Tokens) (knapweedpulley.Receipt, error) {
	c.charged = append(c.charged, id)
	return knapweedpulley.Receipt{}, knapweedpulley.NewRefusal(knapweedpulley.CodeRateExceeded, knapweedpulley.NotRun, "over its rate")
}

// Settle implements knapweedpulley.RateLimiter.
func (*chargeRecorder) Settle(knapweedpulley.Receipt, knapweedpulley.Tokens) {}

// customerRecords are the records of the customers of an entry.
type customerRecords struct {
	entry    *Entry
	revision knapweedpulley.Revision
}

// issue gives a customer the key of the tests.
func (c *customerRecords) issue(t *testing.T, id string) customer.Record {
	t.Helper()
	is := is.New(t)
	author := customer.Author{Operator: "olga", Time: time.Unix(1, 0), Change: "c1"}
	template := json.RawMessage(`{"customer": "` + id + `", "rate": 1000, "burst": 4000, "deadline": "20s",
		"models": [{"id": "advice", "size": 1000, "replicas": 1, "coldStart": "8s"}]}`)
	r, err := customer.Record{}.Apply(author, template, customer.Parameters{})
	is.NoErr(err)
	r, err = r.IssueKey(author, "counter", customer.HashOf(secret))
	is.NoErr(err)
	c.put(t, id, r)
	return r
}

func (c *customerRecords) put(t *testing.T, id string, r customer.Record) {
	t.Helper()
	data, err := r.Encode()
	is.New(t).NoErr(err)
	c.revision++
	c.entry.applyCustomers([]knapweedpulley.Change{{Object: knapweedpulley.Object{
		Kind: knapweedpulley.KindCustomers, Name: id, Revision: c.revision, Value: data,
	}}})
}

// changingBody is a body during whose transfer the configuration changes.
type changingBody struct {
	io.Reader
	change func()
}

// Read implements io.Reader.
func (b *changingBody) Read(p []byte) (int, error) {
	if b.change != nil {
		b.change()
		b.change = nil
	}
	return b.Reader.Read(p)
}

// sendBeside sends a request with the key of customer iturralde, and changes the records while its
// body is transferred. It returns the status and the customers that were charged.
func sendBeside(t *testing.T, change func(c *customerRecords, r customer.Record)) (int, []knapweedpulley.CustomerID) {
	t.Helper()
	logger := logbook.New(io.Discard, log.InfoLevel, "test", "test")
	limiter := &chargeRecorder{}
	e := &Entry{directory: customer.NewDirectory(), catalog: newModelCatalog(), requests: &activeRequests{}, log: logger}
	f := &frontEnd{
		guard:     web.NewMachineGuard(0, 0),
		directory: e.directory, requests: e.requests, scope: tally.NoopScope, meter: burn.NewMeter(tally.NoopScope), log: logger,
		dispatcher: dispatch.NewDispatcher(dispatch.Dependencies{
			Lease: validLease{}, Suspects: noSuspects{}, Limiter: limiter, Log: logger,
		}),
	}
	records := &customerRecords{entry: e}
	first := records.issue(t, "iturralde")
	r := post("")
	r.Body = io.NopCloser(&changingBody{Reader: strings.NewReader(chat + "}"), change: func() { change(records, first) }})
	w := httptest.NewRecorder()
	f.chat(w, r)
	return w.Code, limiter.charged
}

func withdrawFirst(t *testing.T, c *customerRecords, r customer.Record) {
	t.Helper()
	r, err := r.WithdrawKey(customer.Author{Operator: "olga", Time: time.Unix(2, 0), Change: "c2"}, r.Keys[0].ID)
	is.New(t).NoErr(err)
	c.put(t, "iturralde", r)
}

func TestKeyWithdrawnDuringTransferOfBodyIsRefused(t *testing.T) {
	t.Run("a key that is withdrawn", func(t *testing.T) {
		is := is.New(t)
		status, charged := sendBeside(t, func(c *customerRecords, r customer.Record) { withdrawFirst(t, c, r) })
		is.Equal(status, http.StatusUnauthorized)
		is.Equal(len(charged), 0)
	})
	t.Run("a key that is passed on to another customer", func(t *testing.T) {
		is := is.New(t)
		status, charged := sendBeside(t, func(c *customerRecords, r customer.Record) {
			withdrawFirst(t, c, r)
			c.issue(t, "cilindros")
		})
		is.Equal(status, http.StatusUnauthorized)
		is.Equal(len(charged), 0)
	})
	t.Run("a key that stays", func(t *testing.T) {
		is := is.New(t)
		status, charged := sendBeside(t, func(*customerRecords, customer.Record) {})
		is.Equal(status, http.StatusTooManyRequests)
		is.Equal(charged, []knapweedpulley.CustomerID{"iturralde"})
	})
}
