package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/admin"
	"github.com/knapweedpulley/knapweedpulley/customer"
	"github.com/knapweedpulley/knapweedpulley/store/fake"
)

const (
	operatorKey = "kp-operator"
	template    = `{"customer": "workshop", "rate": "${rate}", "burst": 4000,
		"models": [{"id": "gas-mixes", "size": 1000, "replicas": 2}],
		"routes": [{"id": "catalog", "access": "open"}]}`
)

// testAPI is an admin API on a fake store with three fake entry processes. It
// implements their list, the links to them and the drains of endpoints.
type testAPI struct {
	objects   *fake.Store
	directory *customer.Directory
	handler   http.Handler
	audit     bytes.Buffer
	mu        sync.Mutex
	silent    knapweedpulley.Set[knapweedpulley.EntryID]
}

func newTestAPI(t *testing.T) *testAPI {
	t.Helper()
	o := &testAPI{
		objects: fake.New(), directory: customer.NewDirectory(),
		silent: knapweedpulley.NewSet[knapweedpulley.EntryID](),
	}
	editor := admin.NewEditor(admin.EditorOptions{
		Objects: o.objects, Directory: o.directory, Acceptance: admin.NewAcceptance(o, o),
		Log: &log.Logger{Handler: logjson.New(&o.audit), Level: log.InfoLevel}, Now: time.Now,
	})
	h := admin.NewHandler(admin.HandlerOptions{
		Editor: editor, Survey: admin.NewSurvey(o, o), Drainer: o,
		Operators: admin.Operators{{ID: "olga", KeyHash: customer.HashOf(operatorKey)}},
	})
	mux := router.NewRouter()
	for _, r := range h.Routes() {
		is.New(t).NoErr(mux.Handle(r.Method, r.Path, r.Handler))
	}
	o.handler = mux
	return o
}

func (o *testAPI) Peers() []knapweedpulley.Member {
	return []knapweedpulley.Member{{Entry: "entry-1"}, {Entry: "entry-2"}, {Entry: "entry-3"}}
}

func (o *testAPI) Subscribe(
	context.Context, knapweedpulley.Member,
) (knapweedpulley.ConfigurationStream, error) {
	return nil, errors.New("no subscriptions")
}

// Await applies the stored records and reports them, unless the entry is silent.
func (o *testAPI) Await(
	ctx context.Context, to knapweedpulley.Member, kind knapweedpulley.Kind, _ knapweedpulley.Revision,
) (knapweedpulley.ConfigurationReport, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.silent.Has(to.Entry) {
		return knapweedpulley.ConfigurationReport{}, errors.New("no answer")
	}
	l, err := o.objects.List(ctx, kind)
	if err != nil {
		return knapweedpulley.ConfigurationReport{}, err
	}
	for _, object := range l.Objects {
		_ = o.directory.Apply(knapweedpulley.Change{Object: object})
	}
	r := knapweedpulley.ConfigurationReport{Entry: to.Entry}
	for _, c := range o.directory.Current().Customers() {
		r.Customers = append(r.Customers, knapweedpulley.CustomerVersion{Customer: c.ID, Version: c.Version})
	}
	return r, nil
}

func (o *testAPI) Drain(_ context.Context, endpoint knapweedpulley.EndpointID) error {
	if endpoint != "endpoint-1" {
		return knapweedpulley.NewRefusal(knapweedpulley.CodeEndpointNotFound, knapweedpulley.NotRun, "no such endpoint")
	}
	return nil
}

// do sends a request with the operator's key.
func (o *testAPI) do(method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	o.handler.ServeHTTP(w, r)
	return w
}

// apply applies the template with the given rate.
func (o *testAPI) apply(rate int, header ...string) *httptest.ResponseRecorder {
	return o.do(http.MethodPut, "/admin/customers/workshop", application(template, rate), header...)
}

func application(template string, rate int) string {
	return fmt.Sprintf(`{"template": %s, "parameters": {"rate": %d}}`, template, rate)
}

func assertAnswer(t *testing.T, w *httptest.ResponseRecorder, status int, parts ...string) {
	t.Helper()
	if w.Code != status {
		t.Errorf("status %d, want %d: %s", w.Code, status, w.Body)
	}
	for _, p := range parts {
		if !strings.Contains(w.Body.String(), p) {
			t.Errorf("answer %s doesn't contain %q", w.Body, p)
		}
	}
}

// assertVersion requires that the store holds a version of the customer.
func assertVersion(t *testing.T, o *testAPI, want knapweedpulley.Version) {
	t.Helper()
	is := is.New(t)
	object, err := o.objects.Get(t.Context(), knapweedpulley.KindCustomers, "workshop")
	if want == 0 {
		is.True(errors.Is(err, knapweedpulley.ErrObjectNotFound))
		return
	}
	is.NoErr(err)
	r, err := customer.ParseRecord(object.Value)
	is.NoErr(err)
	is.Equal(r.Version, want)
}

func assertAuditLines(t *testing.T, o *testAPI, want int) {
	t.Helper()
	lines := strings.Count(o.audit.String(), `"audit":true`)
	if lines != want {
		t.Errorf("%d audit lines, want %d: %s", lines, want, &o.audit)
	}
}

func TestApply(t *testing.T) {
	t.Run("a new customer gets version 1 and a change of it version 2", func(t *testing.T) {
		o := newTestAPI(t)
		assertAnswer(t, o.apply(10), http.StatusOK, `"version":1`, `"accepted":true`, `"new":10`)
		assertAnswer(t, o.apply(20), http.StatusOK, `"version":2`, `{"path":"rate","old":10,"new":20}`)
		assertVersion(t, o, 2)
		assertAuditLines(t, o, 2)
	})
	t.Run("a dry run changes nothing", func(t *testing.T) {
		o := newTestAPI(t)
		o.apply(10)
		answer := o.do(http.MethodPut, "/admin/customers/workshop?dryRun=true", application(template, 20))
		assertAnswer(t, answer, http.StatusOK, `{"path":"rate","old":10,"new":20}`)
		assertVersion(t, o, 1)
		assertAuditLines(t, o, 1)
	})
	t.Run("a second application of the same content writes nothing", func(t *testing.T) {
		o := newTestAPI(t)
		o.apply(10)
		assertAnswer(t, o.apply(10), http.StatusOK, `"version":1`, `"unchanged":true`)
		assertVersion(t, o, 1)
		assertAuditLines(t, o, 1)
	})
	t.Run("an outdated expected version is a conflict that names both versions", func(t *testing.T) {
		o := newTestAPI(t)
		o.apply(10)
		o.apply(20, "If-Match", "1")
		assertAnswer(t, o.apply(30, "If-Match", "1"), http.StatusConflict, "version 2", "version 1", `"notRun"`)
		assertVersion(t, o, 2)
	})
	t.Run("of several concurrent changes from one version exactly one succeeds", func(t *testing.T) {
		o := newTestAPI(t)
		o.apply(1)
		codes := make(chan int, 10)
		for i := range 10 {
			go func() { codes <- o.apply(i+2, "If-Match", "1").Code }()
		}
		won := 0
		for range 10 {
			if <-codes == http.StatusOK {
				won++
			}
		}
		is.New(t).Equal(won, 1)
		assertVersion(t, o, 2)
	})
	t.Run("a change with too few acknowledgements is not accepted and names the missing entries", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			o := newTestAPI(t)
			o.silent = knapweedpulley.NewSet[knapweedpulley.EntryID]("entry-2", "entry-3")
			assertAnswer(t, o.apply(10), http.StatusAccepted, `"missing":["entry-2","entry-3"]`)
			assertVersion(t, o, 1)
		})
	})
	t.Run("a change succeeds although the store's answer is lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			o := newTestAPI(t)
			o.objects.LoseAnswers(1)
			assertAnswer(t, o.apply(10), http.StatusOK, `"version":1`)
			assertVersion(t, o, 1)
		})
	})
	t.Run("a change during an outage of the store does not run", func(t *testing.T) {
		o := newTestAPI(t)
		o.objects.SetDown(true)
		assertAnswer(t, o.apply(10), http.StatusServiceUnavailable, `"notRun"`)
		o.objects.SetDown(false)
		assertVersion(t, o, 0)
		assertAuditLines(t, o, 0)
	})
	t.Run("a change may have run if the store fails after the write", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			o := newTestAPI(t)
			o.objects.DelayWrites(1, time.Minute)
			time.AfterFunc(time.Millisecond, func() { o.objects.SetDown(true) })
			assertAnswer(t, o.apply(10), http.StatusServiceUnavailable, `"mayHaveRun"`)
			assertAuditLines(t, o, 1)
			time.Sleep(time.Hour)
		})
	})
}

func TestWrongInput(t *testing.T) {
	replaced := func(old, next string) string {
		return application(strings.Replace(template, old, next, 1), 10)
	}
	cases := []struct {
		name, method, path, body string
		status                   int
		parts                    []string
	}{
		{"broken JSON is refused", http.MethodPut, "/admin/customers/workshop", `{"template": `, http.StatusBadRequest, nil},
		{"a missing template is refused", http.MethodPut, "/admin/customers/workshop", `{}`, http.StatusBadRequest, []string{"template"}},
		{"an unknown field is refused", http.MethodPut, "/admin/customers/workshop", `{"tmplate": {}}`, http.StatusBadRequest, []string{"tmplate"}},
		{"zero replicas are refused", http.MethodPut, "/admin/customers/workshop", replaced(`"replicas": 2`, `"replicas": 0`), http.StatusBadRequest, []string{"models[0].replicas"}},
		{"a missing parameter is refused", http.MethodPut, "/admin/customers/workshop", replaced(`${rate}`, `${speed}`), http.StatusBadRequest, []string{"rate", "${speed}"}},
		{"a customer other than that of the path is refused", http.MethodPut, "/admin/customers/depot", application(template, 10), http.StatusBadRequest, []string{"customer", "depot"}},
		{"an invalid dryRun is refused", http.MethodPut, "/admin/customers/workshop?dryRun=perhaps", application(template, 10), http.StatusBadRequest, []string{"dryRun", "perhaps"}},
		{"an unknown customer is not found", http.MethodGet, "/admin/customers/nobody/history", "", http.StatusNotFound, []string{"nobody"}},
		{"the customer of a new key is not found", http.MethodPost, "/admin/customers/nobody/keys", `{"id": "counter"}`, http.StatusNotFound, []string{"nobody"}},
		{"a rollback to an unknown version is refused", http.MethodPost, "/admin/customers/base/rollback", `{"version": 9}`, http.StatusBadRequest, []string{"version", "9"}},
		{"a key with an invalid id is refused", http.MethodPost, "/admin/customers/base/keys", `{"id": "a b"}`, http.StatusBadRequest, []string{"id", "a b"}},
		{"the withdrawal of an unknown key is refused", http.MethodDelete, "/admin/customers/base/keys/none", "", http.StatusBadRequest, []string{"none"}},
		{"a model with another size than for another customer is refused", http.MethodPut, "/admin/customers/workshop", replaced("1000", "2000"), http.StatusBadRequest, []string{"models[0].size", "base"}},
		{"an open route of another customer is refused", http.MethodPut, "/admin/customers/workshop", application(template, 10), http.StatusBadRequest, []string{"routes[0].id", "base"}},
		{"the endpoint of a drain is not found", http.MethodPost, "/admin/endpoints/none/drain", "", http.StatusNotFound, []string{"no such endpoint"}},
	}
	o := newTestAPI(t)
	base := application(strings.Replace(template, "workshop", "base", 1), 10)
	assertAnswer(t, o.do(http.MethodPut, "/admin/customers/base", base), http.StatusOK)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertAnswer(t, o.do(c.method, c.path, c.body), c.status, append(c.parts, `"notRun"`)...)
			assertVersion(t, o, 0)
			assertAuditLines(t, o, 1)
		})
	}
	t.Run("an invalid expected version is refused", func(t *testing.T) {
		assertAnswer(t, o.apply(10, "If-Match", "new"), http.StatusBadRequest, "If-Match", "new")
	})
	t.Run("a wrong operator key is refused", func(t *testing.T) {
		assertAnswer(t, o.apply(10, "Authorization", "Bearer kp-other"), http.StatusUnauthorized, `"invalidKey"`)
	})
	t.Run("a body that is too large is refused", func(t *testing.T) {
		body := `{"template": "` + strings.Repeat("x", 1<<20) + `"}`
		answer := o.do(http.MethodPut, "/admin/customers/workshop", body)
		assertAnswer(t, answer, http.StatusRequestEntityTooLarge)
	})
}

func TestKeys(t *testing.T) {
	o := newTestAPI(t)
	o.apply(10)
	answer := o.do(http.MethodPost, "/admin/customers/workshop/keys", `{"id": "counter"}`)
	assertAnswer(t, answer, http.StatusOK, `"id":"counter"`)
	var key admin.IssuedKey
	is.New(t).NoErr(json.Unmarshal(answer.Body.Bytes(), &key))

	t.Run("an issued key authenticates and its secret is not stored", func(t *testing.T) {
		is := is.New(t)
		c, id, ok := o.directory.Current().Authenticate(key.Secret)
		is.True(ok)
		is.Equal(c.ID, knapweedpulley.CustomerID("workshop"))
		is.Equal(id, knapweedpulley.KeyID("counter"))
		object, err := o.objects.Get(t.Context(), knapweedpulley.KindCustomers, "workshop")
		is.NoErr(err)
		is.True(!bytes.Contains(object.Value, []byte(key.Secret)))
		is.True(!strings.Contains(o.audit.String(), key.Secret))
		hash, _ := customer.HashOf(key.Secret).MarshalText()
		is.True(!strings.Contains(o.do(http.MethodGet, "/admin/customers/workshop", "").Body.String(), string(hash)))
	})
	t.Run("a withdrawn key doesn't authenticate, also after a rollback", func(t *testing.T) {
		is := is.New(t)
		assertAnswer(t, o.do(http.MethodDelete, "/admin/customers/workshop/keys/counter", ""), http.StatusOK)
		_, _, ok := o.directory.Current().Authenticate(key.Secret)
		is.True(!ok)
		answer := o.do(http.MethodPost, "/admin/customers/workshop/rollback", `{"version": 2}`)
		assertAnswer(t, answer, http.StatusOK, `"version":4`)
		_, _, ok = o.directory.Current().Authenticate(key.Secret)
		is.True(!ok)
	})
	t.Run("a second withdrawal changes nothing", func(t *testing.T) {
		answer := o.do(http.MethodDelete, "/admin/customers/workshop/keys/counter", "")
		assertAnswer(t, answer, http.StatusOK, `"unchanged":true`)
		assertVersion(t, o, 4)
	})
	t.Run("the history lists each action and its operator", func(t *testing.T) {
		answer := o.do(http.MethodGet, "/admin/customers/workshop/history", "")
		assertAnswer(t, answer, http.StatusOK, `"action":"rollback"`, `"action":"withdrawKey"`, `"operator":"olga"`)
		assertAuditLines(t, o, 4)
	})
}

func TestStatus(t *testing.T) {
	o := newTestAPI(t)
	o.apply(10)
	t.Run("entries with the same versions are uniform", func(t *testing.T) {
		assertAnswer(t, o.do(http.MethodGet, "/admin/status", ""), http.StatusOK, `"uniform":true`)
		assertAnswer(t, o.do(http.MethodGet, "/admin/customers", ""), http.StatusOK, `"customer":"workshop","version":1`)
	})
	t.Run("an entry that doesn't answer is listed as unreachable", func(t *testing.T) {
		o.silent.Add("entry-2")
		assertAnswer(t, o.do(http.MethodGet, "/admin/status", ""), http.StatusOK,
			`"uniform":false`, `"entry":"entry-2","zone":"","address":"","reachable":false`)
	})
	t.Run("a drain of an endpoint is accepted", func(t *testing.T) {
		answer := o.do(http.MethodPost, "/admin/endpoints/endpoint-1/drain", "")
		assertAnswer(t, answer, http.StatusAccepted, `"draining":true`)
	})
}
