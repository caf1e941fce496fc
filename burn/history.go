package burn

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// bucketDuration is the period that one bucket covers.
	bucketDuration = time.Minute
	// historyDuration is the period that a history covers. It is the longest window.
	historyDuration = slowLongWindow
	// bucketCount is the number of buckets of a customer, including the one of the current minute.
	bucketCount = int(historyDuration/bucketDuration) + 1
)

// Bucket has the counts of one customer in one minute.
type Bucket struct {
	// Minute is the start of the bucket, in minutes since the Unix epoch.
	Minute int64 `json:"minute"`
	Counts
}

// CustomerHistory has the buckets of one customer that are not empty, in order of time.
type CustomerHistory struct {
	Customer knapweedpulley.CustomerID `json:"customer"`
	Buckets  []Bucket                  `json:"buckets"`
}

// Document is the history of one entry process.
type Document struct {
	Entry     string            `json:"entry"`
	Customers []CustomerHistory `json:"customers"`
}

// History keeps the counters of a [Meter] by minute. It implements tally.CachedStatsReporter and
// ignores all other metrics. Its methods can be called concurrently.
type History struct {
	now func() time.Time

	mu        sync.Mutex
	customers map[knapweedpulley.CustomerID]*bucketRing
}

// bucketRing is the ring buffer of a customer's latest buckets. The bucket of a minute has the index
// minute modulo bucketCount.
type bucketRing [bucketCount]Bucket

// NewHistory returns an empty history that reads the time from now.
func NewHistory(now func() time.Time) *History {
	return &History{now: now, customers: make(map[knapweedpulley.CustomerID]*bucketRing)}
}

// minuteOf returns the minute of t, in minutes since the Unix epoch.
func minuteOf(t time.Time) int64 {
	return t.Unix() / int64(bucketDuration/time.Second)
}

// add adds n to a counter of the customer's current bucket.
func (h *History) add(id knapweedpulley.CustomerID, f counterName, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.customers[id]
	if !ok {
		r = new(bucketRing)
		h.customers[id] = r
	}
	now := minuteOf(h.now())
	b := &r[now%int64(bucketCount)]
	if b.Minute != now {
		*b = Bucket{Minute: now}
	}
	*f.counterIn(&b.Counts) += n
}

// Document returns the history as the document of the named entry. It discards customers whose
// buckets have all expired or are empty.
func (h *History) Document(entry string) Document {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := minuteOf(h.now()) - int64(bucketCount) + 1
	d := Document{Entry: entry, Customers: []CustomerHistory{}}
	for id, r := range h.customers {
		c := CustomerHistory{Customer: id}
		for _, b := range r {
			if b.Minute >= oldest && b.Counts != (Counts{}) {
				c.Buckets = append(c.Buckets, b)
			}
		}
		if len(c.Buckets) == 0 {
			delete(h.customers, id)
			continue
		}
		slices.SortFunc(c.Buckets, func(a, b Bucket) int { return cmp.Compare(a.Minute, b.Minute) })
		d.Customers = append(d.Customers, c)
	}
	slices.SortFunc(d.Customers, func(a, b CustomerHistory) int { return cmp.Compare(a.Customer, b.Customer) })
	return d
}

// Handler returns an HTTP handler that answers with the document of the named entry.
func (h *History) Handler(entry string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client closed the connection.
		_ = json.NewEncoder(w).Encode(h.Document(entry))
	}
}

// counterReporter adds the increments of one counter to a history.
type counterReporter struct {
	history     *History
	customer    knapweedpulley.CustomerID
	counterName counterName
}

// ReportCount implements tally.CachedCount.
func (c *counterReporter) ReportCount(value int64) {
	c.history.add(c.customer, c.counterName, value)
}

// AllocateCounter implements tally.CachedStatsReporter. The counter is discarded unless it is one of
// a [Meter] and has the tag of a customer.
func (h *History) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	_, last, ok := strings.Cut(name, scopeName+"_")
	f := counterName(last)
	if !ok || f.counterIn(&Counts{}) == nil || tags[tagCustomer] == "" {
		return discardedMetric{}
	}
	return &counterReporter{history: h, customer: knapweedpulley.CustomerID(tags[tagCustomer]), counterName: f}
}

// AllocateGauge implements tally.CachedStatsReporter.
func (h *History) AllocateGauge(string, map[string]string) tally.CachedGauge {
	return discardedMetric{}
}

// AllocateTimer implements tally.CachedStatsReporter.
func (h *History) AllocateTimer(string, map[string]string) tally.CachedTimer {
	return discardedMetric{}
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (h *History) AllocateHistogram(string, map[string]string, tally.Buckets) tally.CachedHistogram {
	return discardedMetric{}
}

// Capabilities implements tally.BaseStatsReporter.
func (h *History) Capabilities() tally.Capabilities {
	return h
}

// Reporting implements tally.Capabilities.
func (h *History) Reporting() bool {
	return true
}

// Tagging implements tally.Capabilities.
func (h *History) Tagging() bool {
	return true
}

// Flush implements tally.BaseStatsReporter.
func (h *History) Flush() {}

// discardedMetric discards the values of a metric that a history doesn't keep.
type discardedMetric struct{}

// ReportCount implements tally.CachedCount.
func (discardedMetric) ReportCount(int64) {}

// ReportGauge implements tally.CachedGauge.
func (discardedMetric) ReportGauge(float64) {}

// ReportTimer implements tally.CachedTimer.
func (discardedMetric) ReportTimer(time.Duration) {}

// ValueBucket implements tally.CachedHistogram.
func (i discardedMetric) ValueBucket(float64, float64) tally.CachedHistogramBucket {
	return i
}

// DurationBucket implements tally.CachedHistogram.
func (i discardedMetric) DurationBucket(time.Duration, time.Duration) tally.CachedHistogramBucket {
	return i
}

// ReportSamples implements tally.CachedHistogramBucket.
func (discardedMetric) ReportSamples(int64) {}
