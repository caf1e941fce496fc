// Package service stands in for a plain service: each call books something,
// so that a call that ran twice can be told.
//
// # Usage
//
//	s := service.NewService(record.DefaultLimit)
//	server := httptest.NewServer(service.NewHandler(s, fault.NewInjector()))
//	s.ResetNext(1) // The next call is booked, but its caller sees a reset.
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

// Booking is the answer of every call.
type Booking struct {
	// ID names what was booked; no two runs get the same.
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

// Service books every call.
type Service struct {
	recorder *record.Recorder
	booked   atomic.Int64
	resets   atomic.Int64
}

// NewService returns a service that keeps up to limit bytes of what it
// received.
func NewService(limit int) *Service {
	return &Service{recorder: record.NewRecorder(limit)}
}

// Recorder returns what the service received.
func (s *Service) Recorder() *record.Recorder {
	return s.recorder
}

// ResetNext lets the next n calls be booked and their connections reset.
func (s *Service) ResetNext(n int64) {
	s.resets.Store(n)
}

// takeReset reports whether the connection of this call is to be reset.
func (s *Service) takeReset() bool {
	if s.resets.Load() <= 0 {
		return false
	}
	return s.resets.Add(-1) >= 0
}

// ServeHTTP books a call.
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
	if s.takeReset() {
		web.Reset(w)
		return
	}
	web.Write(w, http.StatusOK, b)
}

// NewHandler returns a handler for a service that misbehaves as faults says.
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
