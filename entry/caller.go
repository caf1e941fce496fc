package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// errWithdrawn ends the requests of a caller whose key was withdrawn.
var errWithdrawn = errors.New("the key was withdrawn")

// errLeaseLost ends the requests of an entry that can no longer know which keys
// are withdrawn.
var errLeaseLost = errors.New("this entry has lost touch with the others")

// caller is who sent a request: a customer, by one of its keys, or anyone on an
// open route, without a key.
type caller struct {
	customer *customer.Customer
	key      knapweedpulley.KeyID
	secret   string
}

// identify finds the customer whose key came with the request.
func (f *front) identify(r *http.Request) (*caller, *knapweedpulley.Refusal) {
	secret, ok := bearer(r)
	if !ok {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun,
			"the request has no key: send it as Authorization: Bearer <key>")
	}
	found, key, ok := f.directory.Current().Authenticate(secret)
	if !ok {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun,
			"the key is unknown or withdrawn")
	}
	return &caller{customer: found, key: key, secret: secret}, nil
}

func bearer(r *http.Request) (string, bool) {
	const scheme = "bearer "
	value := r.Header.Get("Authorization")
	if len(value) <= len(scheme) || !strings.EqualFold(value[:len(scheme)], scheme) {
		return "", false
	}
	return strings.TrimSpace(value[len(scheme):]), true
}

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit knapweedpulley.Bytes) ([]byte, *knapweedpulley.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeBodyTooLarge, knapweedpulley.NotRun,
			"the body is larger than %s", limit)
	}
	if err != nil {
		return nil, invalid("read the body: %v", err)
	}
	return body, nil
}

// newRequest fills in what all kinds of requests have in common.
func newRequest(c *caller, r *http.Request, body []byte) *knapweedpulley.Request {
	request := &knapweedpulley.Request{
		ID:       knapweedpulley.RequestID(uuid.NewString()),
		Customer: c.customer.ID,
		Key:      c.key,
		Method:   r.Method,
		Path:     r.URL.Path,
		Header:   passedHeader(r.Header),
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

// isWithheld reports whether a header field is not passed on: keys, ids that make
// HTTP clients repeat a request, and those that belong to one connection. The name
// is in its canonical spelling.
func isWithheld(name string) bool {
	switch name {
	case "Authorization", "Proxy-Authorization", "X-Api-Key", "Cookie",
		"Idempotency-Key", "X-Idempotency-Key",
		"Host", "Content-Length", "Accept-Encoding", "X-Request-Id":
		return true
	}
	return knapweedpulley.IsHopByHopField(name)
}

func passedHeader(header http.Header) []knapweedpulley.HeaderField {
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

// reveals reports whether the request holds the caller's key anywhere that a
// back end would see it.
func (c *caller) reveals(r *knapweedpulley.Request) bool {
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

// callers holds the requests that are being served, so that those of a
// withdrawn key can be ended.
type callers struct {
	open sync.Map // of knapweedpulley.RequestID to *connected
}

// connected is a request that is being served.
type connected struct {
	customer knapweedpulley.CustomerID
	key      knapweedpulley.KeyID
	cancel   context.CancelCauseFunc
}

// add notes a request. The returned function takes it out again.
func (c *callers) add(id knapweedpulley.RequestID, by *caller, cancel context.CancelCauseFunc) func() {
	c.open.Store(id, &connected{customer: by.customer.ID, key: by.key, cancel: cancel})
	return func() { c.open.Delete(id) }
}

// endWithdrawn ends the requests whose key is no longer valid.
func (c *callers) endWithdrawn(s *customer.Snapshot) {
	c.open.Range(func(_, value any) bool {
		if o, ok := value.(*connected); ok && o.key != "" && !s.KeyValid(o.customer, o.key) {
			o.cancel(errWithdrawn)
		}
		return true
	})
}

// endKeyed ends all requests that came with a key.
func (c *callers) endKeyed() {
	c.open.Range(func(_, value any) bool {
		if o, ok := value.(*connected); ok && o.key != "" {
			o.cancel(errLeaseLost)
		}
		return true
	})
}
