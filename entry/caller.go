package entry

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/intake"
	"github.com/knapweedpulley/knapweedpulley/web"
)

// errKeyWithdrawn is the cause of cancellation for requests whose key was withdrawn.
var errKeyWithdrawn = errors.New("the API key of the request was withdrawn")

// errLeaseExpired is the cause of cancellation for requests with a key on an entry
// whose lease has expired: it can no longer know which keys are withdrawn.
var errLeaseExpired = errors.New("the lease of this entry has expired")

// caller is the sender of a request. On an open route it needs no key: key is then
// empty, and customer is the owner of the route.
type caller struct {
	customer *customer.Customer
	key      knapweedpulley.KeyID
	// secret is the key that came with the request, or empty.
	secret string
}

// authenticate returns the caller whose key came with the request.
func (f *frontEnd) authenticate(r *http.Request) (*caller, *knapweedpulley.Refusal) {
	secret, ok := bearerToken(r)
	if !ok {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun,
			"the request has no API key; send one as Authorization: Bearer <key>")
	}
	found, key, ok := f.directory.Current().Authenticate(secret)
	if !ok {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun,
			"the API key is unknown or withdrawn")
	}
	return &caller{customer: found, key: key, secret: secret}, nil
}

func bearerToken(r *http.Request) (string, bool) {
	const scheme = "bearer "
	value := r.Header.Get("Authorization")
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	return strings.TrimSpace(value[len(scheme):]), true
}

// bodyWeight is the memory that a byte of a body takes: in the body, in the frame for the agent and in a
// copy with the bound of the completion.
const bodyWeight = 3

// readBody reads the body of a request on its customer's account. It refuses a body larger than the
// customer's limit. The caller must release the body.
func (f *frontEnd) readBody(w http.ResponseWriter, r *http.Request, c *caller) (web.Body, *knapweedpulley.Refusal) {
	body, err := f.guard.ReadBody(w, r, web.BodyOptions{
		Limit: c.customer.MaxBody, Weight: bodyWeight, Owner: func() intake.Owner { return intake.Owner(c.customer.ID) },
	})
	if err != nil {
		return web.Body{}, knapweedpulley.RefusalOf(err, knapweedpulley.CodeInvalidRequest)
	}
	return body, nil
}

// newRequest returns a request with the fields that all kinds of requests share.
func newRequest(c *caller, r *http.Request, body []byte) *knapweedpulley.Request {
	request := &knapweedpulley.Request{
		ID:       knapweedpulley.RequestID(uuid.NewString()),
		Customer: c.customer.ID,
		Key:      c.key,
		Method:   r.Method,
		Path:     r.URL.Path,
		Header:   forwardedHeader(r.Header),
		Body:     body,
		Weight:   c.customer.Weight,
	}
	if id := r.Header.Get("Idempotency-Key"); id != "" {
		request.Idempotency = knapweedpulley.Some(knapweedpulley.IdempotencyKey(id))
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Method + " " + r.URL.Path + "?" + r.URL.RawQuery + "\n")
	_, _ = digest.Write(body)
	request.Fingerprint = knapweedpulley.Fingerprint(digest.Sum64())
	return request
}

// isWithheld reports whether a header field is not forwarded: keys, ids that make
// HTTP clients retry a request, and hop-by-hop fields. The name is in canonical
// form.
func isWithheld(name string) bool {
	switch name {
	case "Authorization", "Proxy-Authorization", "X-Api-Key", "Cookie",
		"Idempotency-Key", "X-Idempotency-Key",
		"Host", "Content-Length", "Accept-Encoding", "X-Request-Id":
		return true
	}
	return knapweedpulley.IsHopByHopField(name)
}

func forwardedHeader(header http.Header) []knapweedpulley.HeaderField {
	fields := make([]knapweedpulley.HeaderField, 0, len(header))
	for name, values := range header {
		if isWithheld(name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, knapweedpulley.HeaderField{Name: name, Value: v})
		}
	}
	return fields
}

// exposesKey reports whether the request contains the caller's key in any part
// that is sent to a back end.
func (c *caller) exposesKey(r *knapweedpulley.Request) bool {
	if c.secret == "" {
		return false
	}
	if bytes.Contains(r.Body, []byte(c.secret)) || strings.Contains(r.Path+"?"+r.Query, c.secret) {
		return true
	}
	for _, f := range r.Header {
		if strings.Contains(f.Value, c.secret) {
			return true
		}
	}
	return false
}

// activeRequests holds the requests that are being served, so that those of a
// withdrawn key can be canceled.
type activeRequests struct {
	byID sync.Map // of knapweedpulley.RequestID to *activeRequest
}

// activeRequest is a request that is being served.
type activeRequest struct {
	customer knapweedpulley.CustomerID
	key      knapweedpulley.KeyID
	cancel   context.CancelCauseFunc
}

// add adds a request. The returned function removes it.
func (a *activeRequests) add(id knapweedpulley.RequestID, by *caller, cancel context.CancelCauseFunc) func() {
	a.byID.Store(id, &activeRequest{customer: by.customer.ID, key: by.key, cancel: cancel})
	return func() { a.byID.Delete(id) }
}

// cancelWithdrawn cancels the requests whose key is no longer valid.
func (a *activeRequests) cancelWithdrawn(s *customer.Snapshot) {
	a.byID.Range(func(_, value any) bool {
		if o, ok := value.(*activeRequest); ok && o.key != "" && !s.KeyValid(o.customer, o.key) {
			o.cancel(errKeyWithdrawn)
		}
		return true
	})
}

// cancelKeyed cancels all requests that came with a key.
func (a *activeRequests) cancelKeyed() {
	a.byID.Range(func(_, value any) bool {
		if o, ok := value.(*activeRequest); ok && o.key != "" {
			o.cancel(errLeaseExpired)
		}
		return true
	})
}
