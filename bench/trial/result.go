package trial

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/knapweedpulley/knapweedpulley"
)

// Result is what a trial measured.
type Result struct {
	// Cold holds the waiting times of requests that found no loaded replica.
	Cold *hdrhistogram.Histogram
	// Requests counts the requests within their customer's rate.
	Requests int
	// Refused counts refusals of requests within the rate, by code.
	Refused map[knapweedpulley.Code]int
	// IdleHours is the accelerator time that idle models occupied, in hours. Each
	// model counts by its fraction of an accelerator's memory.
	IdleHours float64
	// Loads and Permits count model loads from the weight store and writes of
	// permits.
	Loads   int
	Permits int

	mu           sync.Mutex
	tokensDue    map[knapweedpulley.CustomerID]float64
	tokensServed map[knapweedpulley.CustomerID]float64
	engineTime   map[knapweedpulley.CustomerID]time.Duration
	answerTime   map[knapweedpulley.CustomerID]time.Duration
	flooding     knapweedpulley.Option[knapweedpulley.CustomerID]
}

const (
	// minWait and maxWait bound the histogram of waiting times, in nanoseconds.
	minWait = int64(time.Microsecond)
	maxWait = int64(time.Hour)
	// histogramDigits is the number of significant digits of the histogram.
	histogramDigits = 3
)

func newResult() *Result {
	return &Result{
		Cold:         hdrhistogram.New(minWait, maxWait, histogramDigits),
		Refused:      make(map[knapweedpulley.Code]int),
		tokensDue:    make(map[knapweedpulley.CustomerID]float64),
		tokensServed: make(map[knapweedpulley.CustomerID]float64),
		engineTime:   make(map[knapweedpulley.CustomerID]time.Duration),
		answerTime:   make(map[knapweedpulley.CustomerID]time.Duration),
	}
}

// outcome is how a request ended.
type outcome struct {
	arrival *arrival
	// withinRate is set if the request was within its customer's rate.
	withinRate bool
	// coldStart is how long the request waited for a load, if it did.
	coldStart knapweedpulley.Option[time.Duration]
	took      time.Duration
	err       error
}

// record adds the outcome of a request to the result.
func (r *Result) record(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if coldStart, ok := o.coldStart.Get(); ok {
		_ = r.Cold.RecordValue(int64(coldStart))
	}
	tokens := float64(o.arrival.prompt + o.arrival.answer)
	customer := o.arrival.customer
	if o.withinRate {
		r.tokensDue[customer] += tokens
	}
	if r.isFlooding(customer) {
		// The result doesn't distinguish which of its requests are within the rate.
		if o.err == nil {
			r.tokensServed[customer] += tokens
		}
		return
	}
	if !o.withinRate {
		return
	}
	r.Requests++
	if o.err != nil {
		r.Refused[knapweedpulley.RefusalOf(o.err, knapweedpulley.CodeEngineFailed).Code]++
		return
	}
	r.tokensServed[customer] += tokens
	r.engineTime[customer] += o.arrival.serviceTime()
	r.answerTime[customer] += o.took
}

// isFlooding reports whether a customer is the one that floods.
func (r *Result) isFlooding(c knapweedpulley.CustomerID) bool {
	flooding, ok := r.flooding.Get()
	return ok && c == flooding
}

// FloodShare returns the tokens that the flooding customer was served as a fraction
// of those due to it, and 1 if no customer floods.
func (r *Result) FloodShare() float64 {
	c, ok := r.flooding.Get()
	if !ok {
		return 1
	}
	return r.tokensServed[c] / r.tokensDue[c]
}

// ColdStart returns a percentile, from 0 to 100, of the waiting times in Cold.
func (r *Result) ColdStart(percentile float64) time.Duration {
	return time.Duration(r.Cold.ValueAtQuantile(percentile))
}

// WrongfulRefusals returns the fraction of the requests within the rate that was
// refused.
func (r *Result) WrongfulRefusals() float64 {
	sum := 0
	for _, n := range r.Refused {
		sum += n
	}
	return float64(sum) / float64(max(r.Requests, 1))
}

// WorstShare returns the lowest ratio, over the customers that don't flood, of the
// tokens served to the tokens due.
func (r *Result) WorstShare() float64 {
	worst := 1.0
	for c, due := range r.tokensDue {
		if r.isFlooding(c) {
			continue
		}
		worst = min(worst, r.tokensServed[c]/due)
	}
	return worst
}

// WorstSlowdown returns the largest ratio, over the customers that don't flood, of
// the total time to answer to the time that engines worked on the answers.
func (r *Result) WorstSlowdown() float64 {
	worst := 1.0
	for c, working := range r.engineTime {
		if r.isFlooding(c) {
			continue
		}
		worst = max(worst, r.answerTime[c].Seconds()/working.Seconds())
	}
	return worst
}
