package processes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

const (
	routeOnce = "returns"
	routeOpen = "prices"
	// openCustomer owns the open route. A route that needs no key can belong to
	// only one customer.
	openCustomer knapweedpulley.CustomerID = "wide"

	entryCount     = 2
	engineCount    = 3
	modelSize      = 8 * knapweedpulley.GiB
	adapterSize    = 64 * knapweedpulley.MiB
	roundTrip      = 500 * time.Microsecond
	standinTimeout = 3 * time.Second
	maxAnswerBytes = 32 << 20
	narrowRate     = 100
	narrowBurst    = 500
	wideRate       = 50_000
	wideBurst      = 200_000
	longDeadline   = 20 * time.Second
)

// Deployment returns a small deployment with three customers: one with a high
// rate, one with a low rate, and one with a high rate and a long deadline.
func Deployment() (fleet.Deployment, error) {
	d := fleet.Deployment{
		Name: "faults", Region: "region", Zones: []knapweedpulley.ZoneID{"zone-a", "zone-b"},
		RoundTrip: settings.Duration(roundTrip), Engines: engineCount, Services: 1,
	}
	for _, t := range []customer.Template{
		newCustomerTemplate(openCustomer, wideRate, wideBurst, customerDeadline),
		newCustomerTemplate("narrow", narrowRate, narrowBurst, customerDeadline),
		newCustomerTemplate("long", wideRate, wideBurst, longDeadline),
	} {
		text, err := json.Marshal(t)
		if err != nil {
			return d, errors.Wrap(err, "encode template")
		}
		d.Customers = append(d.Customers, fleet.CustomerFixture{Template: text})
	}
	return d, nil
}

func newCustomerTemplate(
	id knapweedpulley.CustomerID, rate knapweedpulley.TokensPerSecond, burst knapweedpulley.Tokens, limit time.Duration,
) customer.Template {
	model := func(n int) knapweedpulley.ModelID { return knapweedpulley.ModelID(fmt.Sprintf("%s-model-%d", id, n)) }
	routes := []customer.RouteTemplate{{ID: routeOnce, Access: customer.AccessKeyed}}
	if id == openCustomer {
		routes = append(routes, customer.RouteTemplate{ID: routeOpen, Idempotent: true, Access: customer.AccessOpen})
	}
	return customer.Template{
		Customer: id, Weight: 1, Rate: rate, Burst: burst, Deadline: settings.Duration(limit), MaxBody: knapweedpulley.MiB,
		Models: []customer.ModelTemplate{
			{ID: model(1), Size: modelSize, Replicas: 2},
			{ID: model(2), Size: modelSize, Replicas: 1},
		},
		Adapters: []customer.AdapterTemplate{
			{ID: knapweedpulley.AdapterID(id + "-adapter-1"), Model: model(1), Size: adapterSize},
		},
		Keys:   []customer.KeyTemplate{},
		Routes: routes,
	}
}

// CallStandin calls a stand-in over HTTP and decodes the answer into v, unless v is
// nil. It returns an error if the call takes longer than standinTimeout or its status
// is not 2xx.
func CallStandin(ctx context.Context, method, target string, body, v any) error {
	ctx, cancel := context.WithTimeout(ctx, standinTimeout)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+target, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if answer.StatusCode/100 != 2 {
		return errors.Newf("%s answered with status %s, want 2xx", target, answer.Status)
	}
	if v == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(text, v), "decode answer")
}

// MustEncode returns a template in the JSON form that an operator applies. It panics
// if the template can't be encoded.
func MustEncode(t customer.Template) json.RawMessage {
	text, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	return text
}
