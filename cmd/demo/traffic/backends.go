package traffic

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley/standin/record"
)

const (
	kindBackEndCheck = "what the back ends have seen"
	// maxRecordBytes bounds the bytes that are read of a response of a back end.
	maxRecordBytes = 16 << 20
)

// checkBackEnds checks that no back end has received a customer's API key, that the
// back ends have kept all they received, and that each request that must run at most
// once has run as often as expected. It adds a result for each violation, and none
// for checks that pass.
func (r *Run) checkBackEnds(ctx context.Context) {
	runs := make(map[string]int)
	for _, e := range r.fleet.Endpoints {
		base := fmt.Sprintf("http://%s/seen", e.Back)
		for _, c := range r.fleet.Customers {
			var found record.Found
			err := getJSON(ctx, base+"?contains="+url.QueryEscape(c.Key), &found)
			if err != nil || found.Found {
				r.addFault("%s has received the key of %s (%v)", e.ID, c.ID, err)
			}
		}
		var seen record.Seen
		if err := getJSON(ctx, base+"?brief", &seen); err != nil || seen.Dropped > 0 {
			r.addFault("%s did not keep %d requests (%v)", e.ID, seen.Dropped, err)
		}
		for _, m := range seen.ByMarker {
			runs[m.ID] += m.Runs
		}
	}
	for _, o := range r.singleRuns.all() {
		ran := runs[o.marker]
		if ran > 1 || o.wantRuns != atMostOne && ran != o.wantRuns {
			r.addFault("%s has run %d times, want %d", o.marker, ran, o.wantRuns)
		}
	}
}

// addFault adds a wrong result of the check of the back ends to the tally.
func (r *Run) addFault(format string, args ...any) {
	r.tally.Add(Result{
		Deployment: r.fleet.Deployment.Name, Kind: kindBackEndCheck, Outcome: Wrong, Fault: fmt.Sprintf(format, args...),
	})
}

// getJSON decodes the JSON response to a GET request into v.
func getJSON(ctx context.Context, target string, v any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxRecordBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	return errors.Wrap(json.Unmarshal(data, v), "decode response")
}
