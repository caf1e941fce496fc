package traffic

import (
	"context"
	"fmt"
	"net/http"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// sendServices sends calls to each route of the customer, as the route's access and
// idempotency allow.
func (c *caller) sendServices(ctx context.Context) {
	for _, r := range c.customer.Template.Routes {
		switch {
		case r.Access == customer.AccessOpen:
			c.sendToOpenRoute(ctx, r.ID)
		case r.Idempotent:
			c.sendIdempotent(ctx, r.ID)
		default:
			c.sendNonIdempotent(ctx, r.ID)
			c.sendWithIdempotencyKey(ctx, r.ID)
		}
	}
}

// sendToOpenRoute sends calls without a key to a route that is open to all.
func (c *caller) sendToOpenRoute(ctx context.Context, route knapweedpulley.RouteID) {
	for i := range requestsPerKind {
		l, marker := c.newCall(i, http.MethodGet, route, "")
		_, _ = c.book(ctx, "service, open route", l, route, marker)
	}
}

// sendIdempotent sends calls to a route whose calls may be repeated.
func (c *caller) sendIdempotent(ctx context.Context, route knapweedpulley.RouteID) {
	for i := range requestsPerKind {
		l, marker := c.newCall(i, http.MethodPost, route, c.customer.Key)
		_, _ = c.book(ctx, "service, may be repeated", l, route, marker)
	}
}

// sendNonIdempotent sends calls that may not be repeated and have no idempotency key.
func (c *caller) sendNonIdempotent(ctx context.Context, route knapweedpulley.RouteID) {
	for i := range requestsPerKind {
		l, marker := c.newCall(i, http.MethodPost, route, c.customer.Key)
		_, _ = c.bookNonIdempotent(ctx, "service, may not be repeated", l, route, marker)
	}
}

// sendWithIdempotencyKey sends calls that may not be repeated and have an idempotency
// key. It sends each call again to another entry, which must return the first answer,
// and then a different call with the same key, which must be refused.
func (c *caller) sendWithIdempotencyKey(ctx context.Context, route knapweedpulley.RouteID) {
	const kind = "service, may not be repeated, with id"
	for i := range requestsPerKind {
		l, marker := c.newCall(i, http.MethodPost, route, c.customer.Key)
		l.idempotencyKey = fmt.Sprintf("%s-%d", route, i)
		first, err := c.bookNonIdempotent(ctx, kind, l, route, marker)
		if err != nil {
			continue
		}
		l.entry++
		c.repeat(ctx, kind+", sent again", l, route, marker, first.ID)
		other, _ := c.newCall(i, http.MethodPost, route, c.customer.Key)
		other.idempotencyKey = l.idempotencyKey
		c.callRefused(ctx, kind+", other body", other, expectation{
			status: http.StatusConflict, code: knapweedpulley.CodeConflict, verdict: knapweedpulley.NotRun,
		})
	}
}

// repeat sends a call again and checks that the answer has the booking ID want, which
// the first answer had.
func (c *caller) repeat(
	ctx context.Context, kind string, l call, route knapweedpulley.RouteID, marker, want string,
) {
	answer, err := c.do(ctx, l)
	if err != nil {
		c.add(kind, Wrong, "%v", err)
		return
	}
	if answer.status != http.StatusOK {
		r := parseRefusal(answer.status, answer.header, answer.body)
		c.add(kind, r.judgeUnexpected(), "%s", r)
		return
	}
	b, err := answer.booking(l, route, marker)
	if err != nil || b.ID != want {
		c.add(kind, Wrong, "got booking %q, want %q: %v", b.ID, want, err)
		return
	}
	c.add(kind, Answered, "")
}
