// Package metric sets up the metrics of a process: a tally scope whose values are served
// over HTTP in the Prometheus text format.
//
// # Usage
//
//	scope, handler, cleanup := metric.New("entry", "entry-1", history)
//	defer cleanup()
//	scope.Tagged(map[string]string{"customer": "iturralde"}).Counter("answered").Inc(1)
package metric

import (
	"net/http"
	"time"
	"unicode/utf8"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/multi"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/knapweedpulley/knapweedpulley"
)

// reportPeriod is the time between two reports of a scope to its reporters.
const reportPeriod = time.Second

// New returns the root scope of a process and the handler that serves its metrics. The metrics are
// also reported to the other reporters. The clean-up reports the remaining values and closes the
// scope.
func New(
	role, id string, others ...tally.CachedStatsReporter,
) (tally.Scope, http.Handler, knapweedpulley.Cleanup) {
	// A separate registry allows a process to start again after it has ended.
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "knapweedpulley",
		Tags:            map[string]string{"role": role, "process": id},
		CachedReporter:  multi.NewMultiCachedReporter(append(others, reporter)...),
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: tagSanitizer(),
	}, reportPeriod)
	return scope, reporter.HTTPHandler(), func() { _ = closer.Close() }
}

// tagSanitizer leaves the values of tags unchanged, so that two different ids never become the
// same.
func tagSanitizer() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{0, utf8.MaxRune}}}
	return &o
}
