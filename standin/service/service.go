// Package service simulates a plain service. Each call creates a booking with an id of its
// own, so that a test can detect a request that ran twice.
//
// # Usage
//
//	s := service.NewService(record.DefaultLimit)
//	server := httptest.NewServer(service.NewHandler(s, fault.NewInjector()))
//	s.ResetNext(1) // The next call is booked, but its connection is reset.
package service

import (
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/record"
	"github.com/knapweedpulley/knapweedpulley/standin/web"
)

const (
	pathSeen  = "/seen"
	pathReset = "/reset"
)

// Booking is the response body of a call.
type Booking struct {
	// ID identifies the booking and is unique to each run.
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	// Marker is the text in double square brackets in the body.
	Marker string `json:"marker,omitempty"`
	// Size is the number of bytes of the body.
	Size int `json:"size"`
}

// Resets is the body of POST /reset.
type Resets struct {
	Count int64 `json:"count"`
}

// Service creates a booking for every call.
type Service struct {
	recorder *record.Recorder
	booked   atomic.Int64
	resets   atomic.Int64
}

// NewService returns a service that records up to limit bytes of the requests that it
// receives.
func NewService(limit int) *Service {
	return &Service{recorder: record.NewRecorder(limit)}
}

// Recorder returns the recorder of the received requests.
func (s *Service) Recorder() *record.Recorder {
	return s.recorder
}

// ResetNext makes the service book each of the next n calls and then reset its connection.
func (s *Service) ResetNext(n int64) {
	s.resets.Store(n)
}

// consumeReset reports whether to reset the connection of this call, and counts the reset.
func (s *Service) consumeReset() bool {
	if s.resets.Load() <= 0 {
		return false
	}
	return s.resets.Add(-1) >= 0
}

// ServeHTTP records and books a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := s.recorder.RecordRequest(r)
	if err != nil {
		return
	}
	s.recorder.RecordRun(r.Header.Get(record.HeaderRequestID), body)
	b := Booking{
		ID:     fmt.Sprintf("booking-%06d", s.booked.Add(1)),
		Method: r.Method,
		Path:   r.URL.Path,
		Query:  r.URL.RawQuery,
		Marker: record.Marker(body),
		Size:   len(body),
	}
	if s.consumeReset() {
		web.Reset(w)
		return
	}
	web.Write(w, http.StatusOK, b)
}

// NewHandler returns the HTTP API of s, subject to the fault that is set in faults.
func NewHandler(s *Service, faults *fault.Injector) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s)
	mux.Handle("GET "+pathSeen, s.recorder)
	mux.HandleFunc("POST "+pathReset, func(w http.ResponseWriter, r *http.Request) {
		var n Resets
		if !web.Read(w, r, &n) {
			return
		}
		s.ResetNext(n.Count)
		w.WriteHeader(http.StatusNoContent)
	})
	return faults.Wrap(mux, pathSeen, pathReset)
}
