package traffic

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/standin/service"
)

// call is one HTTP request to the i-th entry, usually a call of a plain service.
type call struct {
	entry          int
	method         string
	path           string
	key            string
	idempotencyKey string
	body           string
}

// reply is the response to a call.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends a call and returns the response, whatever its status.
func (c *caller) do(ctx context.Context, l call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s", c.entry(l.entry), l.path)
	r, err := http.NewRequestWithContext(ctx, l.method, url, strings.NewReader(l.body))
	if err != nil {
		return reply{}, errors.Wrap(err, "create request")
	}
	r.Header.Set("Content-Type", "application/json")
	if l.key != "" {
		r.Header.Set("Authorization", "Bearer "+l.key)
	}
	if l.idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", l.idempotencyKey)
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return reply{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: body}, errors.Wrap(err, "read response")
}

// booking returns the booking in a reply. It fails if the reply has none or the
// booking is for another call.
func (r reply) booking(l call, route knapweedpulley.RouteID, marker string) (service.Booking, error) {
	var b service.Booking
	if err := json.Unmarshal(r.body, &b); err != nil {
		return b, errors.Newf("not a booking: %q", r.body)
	}
	path := strings.TrimPrefix(l.path, "/services/"+string(route))
	if b.ID == "" || b.Method != l.method || b.Path != path || b.Marker != marker || b.Size != len(l.body) {
		return b, errors.Newf("booking %+v is not for %s %s", b, l.method, l.path)
	}
	return b, nil
}

// newCall returns a call of a route to the i-th entry, and the unique marker in its
// body.
func (c *caller) newCall(i int, method string, route knapweedpulley.RouteID, key string) (l call, marker string) {
	marker = c.marker()
	return call{
		entry: i, method: method, path: fmt.Sprintf("/services/%s/items/7", route), key: key,
		body: fmt.Sprintf(`{"item":%q}`, marker),
	}, marker
}

// book sends a call and adds its result to the tally. It returns the booking if the
// call was answered. If it was refused, the text of the error is the verdict.
func (c *caller) book(
	ctx context.Context, kind string, l call, route knapweedpulley.RouteID, marker string,
) (service.Booking, error) {
	answer, err := c.do(ctx, l)
	if err == nil && answer.status != http.StatusOK {
		r := parseRefusal(answer.status, answer.header, answer.body)
		c.add(kind, r.judgeUnexpected(), "%s", r)
		return service.Booking{}, errors.Newf("%s", r.Error.Verdict)
	}
	var b service.Booking
	if err == nil {
		b, err = answer.booking(l, route, marker)
	}
	if err != nil {
		c.add(kind, Wrong, "%v", err)
		return b, err
	}
	c.add(kind, Answered, "")
	return b, nil
}

// bookNonIdempotent sends a call that must run at most once, and records how often
// it must have run: once if it was answered, never if it was refused with notRun, and
// at most once otherwise.
func (c *caller) bookNonIdempotent(
	ctx context.Context, kind string, l call, route knapweedpulley.RouteID, marker string,
) (service.Booking, error) {
	b, err := c.book(ctx, kind, l, route, marker)
	switch {
	case err == nil:
		c.singleRuns.add(marker, 1)
	case err.Error() == knapweedpulley.NotRun.String():
		c.singleRuns.add(marker, 0)
	default:
		c.singleRuns.add(marker, atMostOne)
	}
	return b, err
}

// callRefused sends a call that must be refused and adds its result to the tally.
func (c *caller) callRefused(ctx context.Context, kind string, l call, want expectation) {
	answer, err := c.do(ctx, l)
	if err != nil {
		c.add(kind, Wrong, "%v", err)
		return
	}
	r := parseRefusal(answer.status, answer.header, answer.body)
	c.add(kind, want.judge(r), "%s", r)
}
