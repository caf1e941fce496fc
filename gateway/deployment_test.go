package gateway_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
	"github.com/knapweedpulley/knapweedpulley/gateway"
	"github.com/knapweedpulley/knapweedpulley/holdback"
	"github.com/knapweedpulley/knapweedpulley/installation"
	installationfake "github.com/knapweedpulley/knapweedpulley/installation/fake"
	"github.com/knapweedpulley/knapweedpulley/logbook"
	"github.com/knapweedpulley/knapweedpulley/machine/fake"
	"github.com/knapweedpulley/knapweedpulley/placement"
	storefake "github.com/knapweedpulley/knapweedpulley/store/fake"
)

// deployment describes what a gateway under test serves.
type deployment struct {
	route     knapweedpulley.Route
	service   knapweedpulley.Service
	endpoints []knapweedpulley.EndpointID
	// holder is the endpoint that is registered with model m.
	holder    knapweedpulley.EndpointID
	exchanger knapweedpulley.Exchanger
	keepers   knapweedpulley.KeeperLink
	// crashing endpoints have ended when an exchange with them breaks off. crashCheckTime is how
	// long it takes to find out.
	crashing       bool
	crashCheckTime time.Duration
	// retrySlack is the number of retries that the operator allows.
	retrySlack float64
	// accounts are those of the first configuration. The rate limiter is that of newRateLimiter if it
	// is nil here, and so is the retry budget that of the slack.
	accounts    []knapweedpulley.Account
	rateLimiter *gateway.RateLimiter
	retryBudget *gateway.RetryBudget
	// fleet is the gateway's view of the endpoints, or nil for a new one.
	fleet *fleet.Fleet
	// objects is the store, or nil for one with the deployment's own objects.
	objects *storefake.Store
	// evacuations makes the gateway follow the evacuated zones. zone is that of the endpoints.
	evacuations bool
	zone        knapweedpulley.ZoneID
	// logs gets the gateway's log if it isn't nil.
	logs io.Writer
	// scope gets the gateway's counters if it isn't nil.
	scope tally.Scope
}

// newGateway returns a gateway of the deployment once it has read the store. It must be called in a
// synctest bubble.
func (d deployment) newGateway(t *testing.T) *gateway.Gateway {
	t.Helper()
	logs := d.logs
	if logs == nil {
		logs = io.Discard
	}
	clock, logger := fake.Clock{}, logbook.New(logs, log.InfoLevel, "test", "test")
	f := d.fleet
	if f == nil {
		f = fleet.New(clock, "a")
	}
	demand, closeDemand := placement.NewDemand()
	placer, closePlacer := placement.NewPlacer(placement.Options{
		Fleet: f, Demand: demand, Link: d.keepers, Exchanger: d.exchanger, Clock: clock, Log: logger, Gateways: 1, RemoteLoads: 1,
	})
	objects := d.objects
	if objects == nil {
		objects = d.newStore(t)
	}
	placer.Configure(map[knapweedpulley.ServiceID]knapweedpulley.Service{d.service.ID: d.service})
	follower, closeFollower := installation.NewFollower(installation.Options{
		Objects: objects, Decoder: installationfake.InstallationDecoder{}, Clock: clock, Log: logger,
		Evacuations:     d.evacuations,
		OnConfiguration: func(*installation.Snapshot) {}, OnEndpoints: f.Update,
	})
	t.Cleanup(func() {
		time.Sleep(time.Second + d.crashCheckTime) // checks for crashes in the background end
		closeFollower()
		closePlacer()
		closeDemand()
	})
	for !follower.Usable() {
		time.Sleep(time.Millisecond)
	}
	lists, crashes, _ := newCrashTracker()
	crashes.ended, crashes.delay = d.crashing, d.crashCheckTime
	rateLimiter, retryBudget := d.rateLimiter, d.retryBudget
	if rateLimiter == nil {
		rateLimiter, _ = newRateLimiter()
	}
	if retryBudget == nil {
		retryBudget = gateway.NewRetryBudget(d.retrySlack, 1)
	}
	scope := d.scope
	if scope == nil {
		scope = tally.NoopScope
	}
	return gateway.New(gateway.Options{
		Follower: follower, Fleet: f, Placer: placer, Demand: demand, RateLimiter: rateLimiter,
		CrashTracker: gateway.NewCrashTracker(lists["one"], crashes, f, logger),
		RetryBudget:  retryBudget, HoldPolicy: holdback.Spread{}, Exchanger: d.exchanger, Clock: clock, Log: logger,
		Meter: gateway.NewMeter(scope),
	})
}

// newStore returns a store with the configuration and the registrations of the endpoints.
func (d deployment) newStore(t *testing.T) *storefake.Store {
	t.Helper()
	objects := storefake.New()
	putObject(t, objects, knapweedpulley.KindInstallation, knapweedpulley.MainInstallation, d.installation())
	for _, id := range d.endpoints {
		r := knapweedpulley.RegisteredEndpoint{Service: d.service.ID, Address: "10.0.0." + string(id) + ":1", Zone: d.zone, Start: 1, Slots: 4}
		if id == d.holder {
			r.Models = []knapweedpulley.LoadedModel{{Model: "m", State: knapweedpulley.StateLoaded}}
		}
		putObject(t, objects, knapweedpulley.KindEndpoints, string(id), r)
	}
	return objects
}

// installation returns the first configuration.
func (d deployment) installation() knapweedpulley.Installation {
	route := d.route
	route.Host, route.Prefix = "h", "/"
	route.Shares = []knapweedpulley.ServiceShare{{Service: d.service.ID, Weight: 1}}
	return knapweedpulley.Installation{
		Version: 1, Routes: []knapweedpulley.Route{route}, Accounts: d.accounts,
		// The engine spec is left out, as the placer has it already.
		Services: map[knapweedpulley.ServiceID]knapweedpulley.Service{d.service.ID: {ID: d.service.ID}},
	}
}

// putObject writes an object to a store, whether or not it is there already.
func putObject(t *testing.T, objects *storefake.Store, kind knapweedpulley.Kind, name string, value any) {
	t.Helper()
	is := is.New(t)
	data, err := json.Marshal(value)
	is.NoErr(err)
	old, err := objects.Get(t.Context(), kind, name)
	is.True(err == nil || errors.Is(err, knapweedpulley.ErrObjectNotFound))
	_, err = objects.Put(t.Context(), kind, name, data, old.Revision)
	is.NoErr(err)
}

// scriptedAnswer is what an endpoint sends for one attempt.
type scriptedAnswer struct {
	// status is 200 if it is zero.
	status int
	notRun bool
	// leaving and unstamped answers say that the endpoint is leaving, or lack its stamp.
	leaving   bool
	unstamped bool
	// retryAfter is for how long the endpoint wants no requests.
	retryAfter time.Duration
	// silence is the time before a whole answer, or in a stream after silentAfter events.
	silence     time.Duration
	silentAfter int
	// events are the ids of the events of a stream. A stream breaks off after them if broken is set.
	events []string
	broken bool
	// unframed answers end with their connection.
	unframed bool
	body     string
	// partSize is the size in bytes of the parts of the body, each of which comes after partPause.
	partSize  int
	partPause time.Duration
	// keepable is the number of bytes that the gateway may keep; zero means any number.
	keepable knapweedpulley.Bytes
	// pace is what the endpoint states, zero for nothing.
	pace knapweedpulley.Pace
}

// scriptedExchanger plays one scripted answer per attempt, in order, and then the last one
// again. It records which endpoints received an attempt.
type scriptedExchanger struct {
	answers []scriptedAnswer

	mu   sync.Mutex
	sent []knapweedpulley.EndpointID
}

// Exchange implements knapweedpulley.Exchanger.
func (x *scriptedExchanger) Exchange(ctx context.Context, a knapweedpulley.Attempt) (knapweedpulley.Reply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	answer := x.answers[min(len(x.sent), len(x.answers)-1)]
	x.sent = append(x.sent, a.Endpoint)
	return &scriptedReply{ctx: ctx, scriptedAnswer: answer, body: strings.NewReader(answer.body)}, nil
}

// RefusesConnections implements knapweedpulley.Exchanger.
func (x *scriptedExchanger) RefusesConnections(context.Context, string) bool {
	return false
}

// attempts returns the endpoints that received an attempt.
func (x *scriptedExchanger) attempts() []knapweedpulley.EndpointID {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sent
}

// scriptedReply implements knapweedpulley.Reply.
type scriptedReply struct {
	scriptedAnswer
	ctx  context.Context
	body *strings.Reader
}

// Head implements knapweedpulley.Reply.
func (r *scriptedReply) Head() knapweedpulley.AnswerHead {
	if r.status == 0 {
		return knapweedpulley.AnswerHead{Status: http.StatusOK}
	}
	return knapweedpulley.AnswerHead{Status: r.status}
}

// FromEndpoint implements knapweedpulley.Reply.
func (r *scriptedReply) FromEndpoint() bool { return !r.unstamped }

// Keep implements knapweedpulley.Reply.
func (r *scriptedReply) Keep(n knapweedpulley.Bytes) bool { return r.keepable == 0 || n <= r.keepable }

// NotRun implements knapweedpulley.Reply.
func (r *scriptedReply) NotRun() bool { return r.notRun }

// Misdirected implements knapweedpulley.Reply.
func (r *scriptedReply) Misdirected() bool { return false }

// Leaving implements knapweedpulley.Reply.
func (r *scriptedReply) Leaving() bool { return r.leaving }

// RetryAfter implements knapweedpulley.Reply.
func (r *scriptedReply) RetryAfter() (knapweedpulley.Option[time.Duration], error) {
	return knapweedpulley.Some(r.retryAfter), nil
}

// Load implements knapweedpulley.Reply.
func (r *scriptedReply) Load() knapweedpulley.Option[knapweedpulley.EndpointLoad] {
	if r.pace == 0 {
		return knapweedpulley.None[knapweedpulley.EndpointLoad]()
	}
	return knapweedpulley.Some(knapweedpulley.EndpointLoad{Slots: 4, Pace: knapweedpulley.Some(r.pace)})
}

// Framed implements knapweedpulley.Reply.
func (r *scriptedReply) Framed() bool { return !r.unframed }

// Read implements knapweedpulley.Reply.
func (r *scriptedReply) Read(p []byte) (int, error) {
	if r.partSize > 0 && r.body.Len()%r.partSize == 0 && r.body.Len() > 0 {
		r.silence = r.partPause
	}
	if err := r.wait(); err != nil {
		return 0, err
	}
	if r.partSize > 0 && r.body.Len() > 0 {
		rest := (r.body.Len()-1)%r.partSize + 1
		p = p[:min(len(p), rest)]
	}
	return r.body.Read(p)
}

// Event implements knapweedpulley.Reply.
func (r *scriptedReply) Event() (knapweedpulley.StreamEvent, error) {
	if r.silentAfter == 0 {
		if err := r.wait(); err != nil {
			return knapweedpulley.StreamEvent{}, err
		}
	}
	r.silentAfter--
	switch {
	case r.ctx.Err() != nil:
		return knapweedpulley.StreamEvent{}, r.ctx.Err()
	case len(r.events) > 0:
		id := r.events[0]
		r.events = r.events[1:]
		return knapweedpulley.StreamEvent{ID: id, Data: []byte(id + " ")}, nil
	case r.broken:
		return knapweedpulley.StreamEvent{}, io.ErrUnexpectedEOF
	default:
		return knapweedpulley.StreamEvent{}, io.EOF
	}
}

// Close implements knapweedpulley.Reply.
func (r *scriptedReply) Close() {}

// wait waits for the silence, once.
func (r *scriptedReply) wait() error {
	silence := r.silence
	r.silence = 0
	select {
	case <-r.ctx.Done():
		return r.ctx.Err()
	case <-time.After(silence):
		return nil
	}
}

// recordedAnswer implements knapweedpulley.AnswerWriter.
type recordedAnswer struct {
	heads []int
	body  strings.Builder
}

// WriteHead implements knapweedpulley.AnswerWriter.
func (a *recordedAnswer) WriteHead(head knapweedpulley.AnswerHead) error {
	a.heads = append(a.heads, head.Status)
	return nil
}

// Write implements knapweedpulley.AnswerWriter.
func (a *recordedAnswer) Write(p []byte) (int, error) {
	return a.body.Write(p)
}

// serve serves one call at a new gateway of the deployment and returns what the caller got.
func (d deployment) serve(t *testing.T, changes ...func(*knapweedpulley.Call)) (*recordedAnswer, error) {
	t.Helper()
	return serveCall(t, d.newGateway(t), changes...)
}

// newCall returns a call of the deployment's route.
func newCall() *knapweedpulley.Call {
	return &knapweedpulley.Call{ID: "r", Host: "h", Path: "/x", Timeout: time.Minute, Arrived: fake.Clock{}.Now()}
}

// serveCall serves one call and returns what the caller got.
func serveCall(t *testing.T, g *gateway.Gateway, changes ...func(*knapweedpulley.Call)) (*recordedAnswer, error) {
	t.Helper()
	call := newCall()
	for _, change := range changes {
		change(call)
	}
	answer := &recordedAnswer{}
	err := g.Serve(t.Context(), call, answer)
	return answer, err
}

// assertAnswered asserts that a caller got one head with status 200 and the whole body.
func assertAnswered(t *testing.T, answer *recordedAnswer, err error, body string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(err)
	is.Equal(answer.heads, []int{http.StatusOK})
	is.Equal(answer.body.String(), body)
}

// assertIncomplete asserts that a caller got the start of an answer, and that it doesn't end as
// a complete one.
func assertIncomplete(t *testing.T, answer *recordedAnswer, err error, body string) {
	t.Helper()
	is := is.New(t)
	is.True(errors.Is(err, gateway.ErrIncompleteAnswer))
	is.Equal(answer.heads, []int{http.StatusOK})
	is.Equal(answer.body.String(), body)
}
