package objects_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/objects"
)

const kind = knapweedpulley.KindPermits

func serve(t *testing.T) (*httptest.Server, *objects.Store, *fault.Injector) {
	t.Helper()
	store := objects.NewStore(objects.DefaultHistory)
	faults := fault.NewInjector()
	server := httptest.NewServer(objects.NewHandler(store, faults))
	t.Cleanup(server.Close)
	return server, store, faults
}

func call(t *testing.T, method, url, match, body string) (int, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	is.New(t).NoErr(err)
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(data), err
}

func assertCall(t *testing.T, method, url, match, body string, status int, want string) {
	t.Helper()
	is := is.New(t)
	got, data, err := call(t, method, url, match, body)
	is.NoErr(err)
	is.Equal(got, status)
	if want != "" {
		is.Equal(strings.TrimSpace(data), want)
	}
}

func assertRevision(t *testing.T, store *objects.Store, name string, want knapweedpulley.Revision) {
	t.Helper()
	o, err := store.Get(t.Context(), kind, name)
	is.New(t).NoErr(err)
	is.New(t).Equal(o.Revision, want)
}

func TestHandler(t *testing.T) {
	server, store, faults := serve(t)
	object := server.URL + "/objects/permits/m1"

	t.Run("a missing object returns 404", func(t *testing.T) {
		assertCall(t, "GET", object, "", "", 404, "")
	})
	t.Run("a write without If-Match is rejected", func(t *testing.T) {
		assertCall(t, "PUT", object, "", `{"a":1}`, 428, "")
	})
	t.Run("revision 0 creates a new object", func(t *testing.T) {
		assertCall(t, "PUT", object, "0", `{"a":1}`, 200, `{"revision":1}`)
		assertCall(t, "GET", object, "", "", 200, `{"kind":"permits","name":"m1","revision":1,"value":{"a":1}}`)
	})
	t.Run("an old revision conflicts and the response has the current one", func(t *testing.T) {
		assertCall(t, "PUT", object, "0", `{"a":2}`, 409, `{"revision":1}`)
	})
	t.Run("a value must be JSON of at most a megabyte", func(t *testing.T) {
		assertCall(t, "PUT", object, "1", `{"a"`, 400, "")
		assertCall(t, "PUT", object, "1", `"`+strings.Repeat("a", objects.MaxValue)+`"`, 413, "")
		assertRevision(t, store, "m1", 1)
	})
	t.Run("a write whose response is lost takes effect", func(t *testing.T) {
		faults.Set(fault.Fault{LoseAnswer: true, Count: 1})
		_, _, err := call(t, "PUT", object, "1", `{"a":2}`)
		is.New(t).True(err != nil)
		assertRevision(t, store, "m1", 2)
	})
	t.Run("a list contains all objects of its kind", func(t *testing.T) {
		assertCall(t, "GET", server.URL+"/objects/permits", "", "", 200,
			`{"objects":[{"kind":"permits","name":"m1","revision":2,"value":{"a":2}}],"revision":2}`)
	})
	t.Run("a watch returns a deletion", func(t *testing.T) {
		assertCall(t, "DELETE", object, "2", "", 200, `{"revision":3}`)
		assertCall(t, "GET", server.URL+"/watch/permits?after=2&wait=1s", "", "", 200,
			`{"changes":[{"kind":"permits","name":"m1","revision":3,"deleted":true}],"revision":3}`)
	})
	t.Run("a watch from a compacted revision returns 410", func(t *testing.T) {
		assertCall(t, "POST", server.URL+"/compact/permits", "", "", 204, "")
		assertCall(t, "GET", server.URL+"/watch/permits?after=2&wait=1s", "", "", 410, "")
	})
	t.Run("counts can be read while the store refuses calls", func(t *testing.T) {
		is := is.New(t)
		faults.Set(fault.Fault{Refuse: true})
		assertCall(t, "GET", object, "", "", 503, "")
		_, data, err := call(t, "GET", server.URL+"/counts", "", "")
		is.NoErr(err)
		var counts objects.Counts
		is.NoErr(json.Unmarshal([]byte(data), &counts))
		is.Equal(counts.Counts[4], objects.Count{Kind: kind, Call: objects.CallWatch, Calls: 2})
	})
}

func TestWatch(t *testing.T) {
	t.Run("a watch ends after its wait if nothing changes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := objects.NewStore(objects.DefaultHistory)
			changes, _, err := store.Watch(t.Context(), kind, 0, time.Second)
			is.New(t).NoErr(err)
			is.New(t).Equal(len(changes), 0)
		})
	})
	t.Run("a watch returns as soon as an object of its kind changes", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := objects.NewStore(objects.DefaultHistory)
			go func() {
				time.Sleep(time.Second)
				_, _ = store.Put(t.Context(), knapweedpulley.KindClaims, "c", []byte("1"), 0)
				_, _ = store.Put(t.Context(), kind, "m1", []byte("1"), 0)
			}()
			changes, revision, err := store.Watch(t.Context(), kind, 0, time.Minute)
			is.NoErr(err)
			is.Equal(len(changes), 1)
			is.Equal(revision, knapweedpulley.Revision(2))
		})
	})
	t.Run("changes beyond the history are compacted", func(t *testing.T) {
		is := is.New(t)
		store := objects.NewStore(2)
		for r := range knapweedpulley.Revision(4) {
			_, err := store.Put(t.Context(), kind, "m1", []byte("1"), r)
			is.NoErr(err)
		}
		_, _, err := store.Watch(t.Context(), kind, 0, time.Second)
		is.True(errors.Is(err, knapweedpulley.ErrCompacted))
	})
}
