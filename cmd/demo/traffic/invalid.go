package traffic

import (
	"context"
	"net/http"
	"strings"

	"github.com/knapweedpulley/knapweedpulley"
)

// sendInvalid sends requests that the entry must refuse: without or with a wrong key, for
// unknown models and routes, with broken JSON, and with a body above the limit.
func (c *caller) sendInvalid(ctx context.Context) {
	unauthorized := expectation{http.StatusUnauthorized, knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun}
	notFound := expectation{http.StatusNotFound, knapweedpulley.CodeModelNotFound, knapweedpulley.NotRun}
	c.chatRefused(ctx, "refused: wrong key", "kp-wrong", c.model(0), unauthorized)
	c.chatRefused(ctx, "refused: unknown model", c.customer.Key, "no-such-model", notFound)
	c.callRefused(ctx, "refused: no key", call{
		method: http.MethodPost, path: "/v1/chat/completions", body: `{"model":"m","messages":[]}`,
	}, unauthorized)
	c.callRefused(ctx, "refused: broken JSON", call{
		method: http.MethodPost, path: "/v1/chat/completions", key: c.customer.Key, body: `{"model":`,
	}, expectation{http.StatusBadRequest, knapweedpulley.CodeInvalidRequest, knapweedpulley.NotRun})
	c.callRefused(ctx, "refused: body too large", call{
		method: http.MethodPost, path: "/v1/chat/completions", key: c.customer.Key,
		body: `{"model":"` + strings.Repeat("m", int(c.customer.Template.MaxBody)) + `"}`,
	}, expectation{http.StatusRequestEntityTooLarge, knapweedpulley.CodeBodyTooLarge, knapweedpulley.NotRun})
	c.callRefused(ctx, "refused: unknown route", call{
		method: http.MethodPost, path: "/services/no-such-route/x", key: c.customer.Key,
	}, expectation{http.StatusNotFound, knapweedpulley.CodeRouteNotFound, knapweedpulley.NotRun})
}
