// Package record keeps what a stand-in received, so that a test can count the
// runs of a request and look for keys that should not have arrived.
//
// # Usage
//
//	recorder := record.NewRecorder(record.DefaultLimit)
//	body, err := recorder.Received(r)
//	recorder.Ran(id, body)
//	leaked := recorder.Contains([]byte(secret))
package record

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/knapweedpulley/knapweedpulley/standin/web"
)

const (
	// DefaultLimit bounds the bytes that a recorder keeps.
	DefaultLimit = 64 << 20
	// maxBody bounds the body of one request.
	maxBody = 16 << 20
	// HeaderRequestID names the request through all its attempts.
	HeaderRequestID = "X-Request-Id"
)

// markerPattern finds the texts by which tests recognize a request content.
var markerPattern = regexp.MustCompile(`\[\[[^\[\]]{1,80}\]\]`)

// Marker returns the first text in double square brackets, or "".
func Marker(body []byte) string {
	return string(markerPattern.Find(body))
}

// Runs counts the runs of one request id or marker.
type Runs struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
}

// Seen is the answer of GET /seen.
type Seen struct {
	Requests int    `json:"requests"`
	ByID     []Runs `json:"byID"`
	ByMarker []Runs `json:"byMarker"`
	// Bytes is all that was received, unless more than the limit came.
	Bytes   string `json:"bytes,omitempty"`
	Dropped int    `json:"dropped"`
}

// Found is the answer of GET /seen?contains=TEXT.
type Found struct {
	Found bool `json:"found"`
}

// Recorder keeps the bytes of requests and counts runs.
type Recorder struct {
	mu       sync.Mutex
	limit    int
	data     bytes.Buffer
	dropped  int
	requests int
	byID     map[string]int
	byMarker map[string]int
}

// NewRecorder returns a recorder that keeps up to limit bytes.
func NewRecorder(limit int) *Recorder {
	return &Recorder{limit: limit, byID: make(map[string]int), byMarker: make(map[string]int)}
}

// RecordRequest records a request line, header and body, and returns the body.
func (c *Recorder) RecordRequest(r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	head := fmt.Sprintf("%s %s %s\nHost: %s\n", r.Method, r.RequestURI, r.Proto, r.Host)
	if c.data.Len()+len(head)+len(body) > c.limit {
		c.dropped++
		return body, err
	}
	c.data.WriteString(head)
	_ = r.Header.Write(&c.data)
	c.data.Write(body)
	c.data.WriteByte('\n')
	_ = r.Trailer.Write(&c.data)
	return body, err
}

// RecordRun counts a run of the request with an id and a body, and returns how often
// the id has run.
func (c *Recorder) RecordRun(id string, body []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if marker := Marker(body); marker != "" {
		c.byMarker[marker]++
	}
	if id == "" {
		return 1
	}
	c.byID[id]++
	return c.byID[id]
}

// Runs returns how often the request with an id ran.
func (c *Recorder) Runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// MarkerRuns returns how often a request with a marker ran.
func (c *Recorder) MarkerRuns(marker string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byMarker[marker]
}

// Contains reports whether text was received anywhere.
func (c *Recorder) Contains(text []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Contains(c.data.Bytes(), text)
}

// Dropped returns the number of requests whose bytes were not kept.
func (c *Recorder) Dropped() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// ServeHTTP answers GET /seen. The parameter contains asks for a text instead,
// and brief leaves the bytes out.
func (c *Recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if text := r.URL.Query().Get("contains"); text != "" {
		web.Write(w, http.StatusOK, Found{Found: c.Contains([]byte(text))})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := Seen{Requests: c.requests, ByID: sorted(c.byID), ByMarker: sorted(c.byMarker), Dropped: c.dropped}
	if !r.URL.Query().Has("brief") {
		seen.Bytes = c.data.String()
	}
	web.Write(w, http.StatusOK, seen)
}

func sorted(counts map[string]int) []Runs {
	list := make([]Runs, 0, len(counts))
	for id, n := range counts {
		list = append(list, Runs{ID: id, Runs: n})
	}
	slices.SortFunc(list, func(a, b Runs) int { return strings.Compare(a.ID, b.ID) })
	return list
}
