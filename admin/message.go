package admin

import (
	"encoding/json"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// ApplyRequest is the body of PUT /admin/customers/{customer}.
type ApplyRequest struct {
	Template   json.RawMessage     `json:"template"`
	Parameters customer.Parameters `json:"parameters"`
}

// RollbackRequest is the body of POST /admin/customers/{customer}/rollback.
type RollbackRequest struct {
	Version knapweedpulley.Version `json:"version"`
}

// KeyRequest is the body of POST /admin/customers/{customer}/keys.
type KeyRequest struct {
	ID knapweedpulley.KeyID `json:"id"`
}

// CustomerList is the answer of GET /admin/customers.
type CustomerList struct {
	Customers []CustomerSummary `json:"customers"`
}

// CustomerSummary gives the version and rate of a customer that are in force at the
// entry that answers.
type CustomerSummary struct {
	Customer knapweedpulley.CustomerID      `json:"customer"`
	Version  knapweedpulley.Version         `json:"version"`
	Rate     knapweedpulley.TokensPerSecond `json:"rate"`
	Burst    knapweedpulley.Tokens          `json:"burst"`
}

// CustomerDetail is the answer of GET /admin/customers/{customer}.
type CustomerDetail struct {
	Version    knapweedpulley.Version `json:"version"`
	Template   json.RawMessage        `json:"template"`
	Parameters customer.Parameters    `json:"parameters"`
	Keys       []KeyDetail            `json:"keys"`
}

// KeyDetail describes a key without its hash.
type KeyDetail struct {
	ID        knapweedpulley.KeyID `json:"id"`
	Withdrawn bool                 `json:"withdrawn"`
}

// newCustomerDetail returns the part of a record that operators may read.
func newCustomerDetail(r customer.Record) CustomerDetail {
	d := CustomerDetail{Version: r.Version, Template: r.Template, Parameters: r.Parameters, Keys: []KeyDetail{}}
	for _, k := range r.Keys {
		d.Keys = append(d.Keys, KeyDetail{ID: k.ID, Withdrawn: k.Withdrawn})
	}
	return d
}

// History is the answer of GET /admin/customers/{customer}/history.
type History struct {
	// Editions lists the versions, latest first.
	Editions []EditionDetail `json:"editions"`
}

// EditionDetail describes one version: the change that made it, who made it and when.
type EditionDetail struct {
	Version  knapweedpulley.Version    `json:"version"`
	Action   customer.Action           `json:"action"`
	Operator knapweedpulley.OperatorID `json:"operator"`
	Time     time.Time                 `json:"time"`
	Change   knapweedpulley.ChangeID   `json:"change"`
}

// newHistory returns the history of a record.
func newHistory(r customer.Record) History {
	h := History{Editions: []EditionDetail{newEditionDetail(r.Edition)}}
	for i := len(r.History) - 1; i >= 0; i-- {
		h.Editions = append(h.Editions, newEditionDetail(r.History[i]))
	}
	return h
}

func newEditionDetail(e customer.Edition) EditionDetail {
	return EditionDetail{Version: e.Version, Action: e.Action, Operator: e.Operator, Time: e.Time, Change: e.Change}
}

// DrainResult is the answer of POST /admin/endpoints/{endpoint}/drain.
type DrainResult struct {
	Endpoint knapweedpulley.EndpointID `json:"endpoint"`
	Draining bool                      `json:"draining"`
}
