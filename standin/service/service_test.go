package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/record"
	"github.com/knapweedpulley/knapweedpulley/standin/service"
)

func post(t *testing.T, url, id, body string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	is.New(t).NoErr(err)
	r.Header.Set(record.HeaderRequestID, id)
	r.Header.Set("X-Other", "secret-1")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	return strings.TrimSpace(string(data)), err
}

func assertRuns(t *testing.T, s *service.Service, id string, want int) {
	t.Helper()
	is.New(t).Equal(s.Recorder().Runs(id), want)
}

func TestService(t *testing.T) {
	s := service.NewService(record.DefaultLimit)
	faults := fault.NewInjector()
	server := httptest.NewServer(service.NewHandler(s, faults))
	t.Cleanup(server.Close)

	t.Run("a call is booked and its run is counted", func(t *testing.T) {
		body, err := post(t, server.URL+"/orders?day=1", "r1", "deliver [[order 7]]")
		is.New(t).NoErr(err)
		is.New(t).Equal(body, `{"id":"booking-000001","method":"POST","path":"/orders","query":"day=1","marker":"[[order 7]]","size":19}`)
		assertRuns(t, s, "r1", 1)
		is.New(t).Equal(s.Recorder().MarkerRuns("[[order 7]]"), 1)
	})
	t.Run("a call whose connection is reset is booked", func(t *testing.T) {
		s.ResetNext(1)
		_, err := post(t, server.URL+"/orders", "r2", "{}")
		is.New(t).True(err != nil)
		assertRuns(t, s, "r2", 1)
	})
	t.Run("a dropped call is not booked", func(t *testing.T) {
		faults.Set(fault.Fault{Drop: 1, Count: 1})
		_, err := post(t, server.URL+"/orders", "r3", "{}")
		is.New(t).True(err != nil)
		assertRuns(t, s, "r3", 0)
	})
	t.Run("a frozen service books a call once the fault is cleared", func(t *testing.T) {
		faults.Set(fault.Fault{Freeze: true})
		done := make(chan error, 1)
		go func() {
			_, err := post(t, server.URL+"/orders", "r4", "{}")
			done <- err
		}()
		assertRuns(t, s, "r4", 0)
		faults.Clear()
		is.New(t).NoErr(<-done)
		assertRuns(t, s, "r4", 1)
	})
	t.Run("header values are recorded", func(t *testing.T) {
		is.New(t).True(s.Recorder().Contains([]byte("secret-1")))
		is.New(t).True(!s.Recorder().Contains([]byte("secret-2")))
	})
}
