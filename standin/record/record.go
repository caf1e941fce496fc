// Package record records the requests that a stand-in receives, so that a test can count
// the runs of a request and check that no key was forwarded.
//
// # Usage
//
//	recorder := record.NewRecorder(record.DefaultLimit)
//	body, err := recorder.RecordRequest(r)
//	recorder.RecordRun(id, body)
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
	// DefaultLimit is the default bound on the bytes that a recorder keeps.
	DefaultLimit = 64 << 20
	// maxBody bounds the bytes that are read from the body of one request.
	maxBody = 16 << 20
	// HeaderRequestID carries the id of a request, which is the same in all its attempts.
	HeaderRequestID = "X-Request-Id"
)

// markerPattern matches the markers by which tests identify the content of a request.
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

// Seen is the response body of GET /seen.
type Seen struct {
	Requests int    `json:"requests"`
	ByID     []Runs `json:"byID"`
	ByMarker []Runs `json:"byMarker"`
	// Bytes is the content of the received requests, without those that exceeded the limit.
	Bytes   string `json:"bytes,omitempty"`
	Dropped int    `json:"dropped"`
}

// Found is the response body of GET /seen?contains=TEXT.
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

// RecordRequest records the request line, header and body of a request, and returns the
// body.
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

// RecordRun counts a run of the request with the given id and body, and returns the number
// of runs of this id so far.
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

// Runs returns the number of runs of the request with the given id.
func (c *Recorder) Runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// MarkerRuns returns the number of runs of requests with the given marker.
func (c *Recorder) MarkerRuns(marker string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byMarker[marker]
}

// Contains reports whether text occurs anywhere in the recorded requests.
func (c *Recorder) Contains(text []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Contains(c.data.Bytes(), text)
}

// Dropped returns the number of requests whose bytes were not kept because of the limit.
func (c *Recorder) Dropped() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

// ServeHTTP serves GET /seen. With the parameter contains, it reports only whether that text
// was received; with brief, it omits the bytes.
func (c *Recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if text := r.URL.Query().Get("contains"); text != "" {
		web.Write(w, http.StatusOK, Found{Found: c.Contains([]byte(text))})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := Seen{Requests: c.requests, ByID: sortedRuns(c.byID), ByMarker: sortedRuns(c.byMarker), Dropped: c.dropped}
	if !r.URL.Query().Has("brief") {
		seen.Bytes = c.data.String()
	}
	web.Write(w, http.StatusOK, seen)
}

func sortedRuns(counts map[string]int) []Runs {
	list := make([]Runs, 0, len(counts))
	for id, n := range counts {
		list = append(list, Runs{ID: id, Runs: n})
	}
	slices.SortFunc(list, func(a, b Runs) int { return strings.Compare(a.ID, b.ID) })
	return list
}
