package entry

import (
	"net/http"
	"strings"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/customer"
)

// servicePrefix is the prefix of the paths of plain services.
const servicePrefix = "/services/"

// service answers requests to paths below /services/{route}.
func (f *frontEnd) service(w http.ResponseWriter, r *http.Request) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	id := knapweedpulley.RouteID(name)
	c, route, refusal := f.resolveRoute(r, id)
	if refusal != nil {
		f.refuse(w, "", refusal)
		return
	}
	body, refusal := f.readBody(w, r, c)
	if refusal != nil {
		f.refuse(w, c.customer.ID, refusal)
		return
	}
	defer body.Release()
	request := newRequest(c, r, body.Data)
	request.Kind = knapweedpulley.KindService
	request.Route = route.ID
	request.Path = "/" + path
	request.Query = r.URL.RawQuery
	request.Idempotent = route.Idempotent
	f.serve(w, r, c, request, route.Deadline)
}

// resolveRoute returns the caller and the route of a request. An open route needs
// no key; a request on any other route runs only for the customer whose key came
// with it.
func (f *frontEnd) resolveRoute(
	r *http.Request, id knapweedpulley.RouteID,
) (*caller, *customer.Route, *knapweedpulley.Refusal) {
	c, refusal := f.authenticate(r)
	if refusal == nil {
		if route, ok := c.customer.Routes[id]; ok {
			return c, route, nil
		}
	}
	if owner, route, ok := f.directory.Current().OpenRoute(id); ok {
		secret, _ := bearerToken(r)
		return &caller{customer: owner, secret: secret}, route, nil
	}
	if refusal != nil {
		return nil, nil, refusal
	}
	return nil, nil, knapweedpulley.NewRefusal(knapweedpulley.CodeRouteNotFound, knapweedpulley.NotRun,
		"route %q is not a route of this customer", id)
}
