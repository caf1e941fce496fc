package faults_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/agent"
	"github.com/knapweedpulley/knapweedpulley/engine/fake"
	"github.com/knapweedpulley/knapweedpulley/faults"
)

const (
	endpointID     = knapweedpulley.EndpointID("endpoint-1")
	modelSize      = 4 * knapweedpulley.GiB
	engineMemory   = 10 * knapweedpulley.GiB
	lease          = 3 * time.Second
	orderTimeout   = time.Minute
	samplePeriod   = 53 * time.Millisecond
	retryPeriod    = 537 * time.Millisecond
	settleTime     = time.Minute
	requestTimeout = 5 * time.Second
	requestTokens  = knapweedpulley.Tokens(100)
	tokenTime      = 10 * time.Millisecond
)

// virtualClock is a machine's boot-time clock inside a bubble.
type virtualClock struct {
	mu        sync.Mutex
	suspended time.Duration
}

// Now implements knapweedpulley.Clock.
func (c *virtualClock) Now() knapweedpulley.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return knapweedpulley.Instant(time.Now().UnixNano()).Add(c.suspended)
}

func (c *virtualClock) suspend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended += d
}

// world is one endpoint, its callers and the decisions about its models.
type world struct {
	t       *testing.T
	checks  bool
	clock   *virtualClock
	engines []*fake.Engine
	port    *fake.Connection
	agent   *agent.Agent
	cleanup knapweedpulley.Cleanup
	// killed is closed when the current agent is.
	killed chan struct{}
	ended  chan struct{}
	calls  sync.WaitGroup
	work   sync.WaitGroup

	mu        sync.Mutex
	permitted knapweedpulley.Set[knapweedpulley.ModelID]
	replicas  knapweedpulley.Set[faults.Replica]
	refused   []faults.Refusal
	sent      map[knapweedpulley.RequestID]knapweedpulley.CustomerID
	seen      faults.Observations
}

func newWorld(t *testing.T, checksFencing bool) *world {
	t.Helper()
	w := &world{
		t: t, checks: checksFencing, clock: &virtualClock{}, ended: make(chan struct{}),
		permitted: knapweedpulley.NewSet[knapweedpulley.ModelID](),
		replicas:  knapweedpulley.NewSet[faults.Replica](),
		sent:      make(map[knapweedpulley.RequestID]knapweedpulley.CustomerID),
	}
	w.newMachine()
	w.work.Go(w.sample)
	return w
}

func (w *world) engine() *fake.Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.engines[len(w.engines)-1]
}

// newMachine starts a new engine, and an agent beside it.
func (w *world) newMachine() {
	e := fake.NewEngine(fake.Settings{
		Memory: engineMemory, Slots: 4, ChecksFencing: w.checks, LoadTime: 8 * time.Second, UnloadTime: time.Second,
		TokenTime: tokenTime, RestartTime: 5 * time.Second,
		StateTime: 2 * time.Millisecond, OrderTime: 10 * time.Millisecond,
	})
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	w.newAgent()
}

func (w *world) newAgent() {
	port := w.engine().Connect()
	s := agent.Settings{
		Endpoint: endpointID, Machine: "machine-1", Zone: "a",
		Engine: &agent.EngineSettings{ChecksFencing: w.checks},
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	a, cleanup, err := agent.New(s, agent.Backends{Engine: port}, w.clock, logger, tally.NoopScope)
	if err != nil {
		w.t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.port, w.agent, w.cleanup, w.killed = port, a, cleanup, make(chan struct{})
}

// kill ends the agent's process and starts its successor.
func (w *world) kill() {
	w.end()
	w.newAgent()
}

// reclaim ends the machine and starts another in its place.
func (w *world) reclaim() {
	w.engine().Stop()
	w.end()
	w.newMachine()
}

func (w *world) end() {
	w.mu.Lock()
	port, cleanup, killed := w.port, w.cleanup, w.killed
	w.mu.Unlock()
	port.Cut()
	close(killed)
	cleanup()
}

func (w *world) current() (*agent.Agent, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agent, w.killed
}

// decide says whether a model may be loaded here.
func (w *world) decide(m knapweedpulley.ModelID, may bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if may {
		w.permitted.Add(m)
		return
	}
	w.permitted.Remove(m)
}

// sample compares what the engine really holds with what was decided.
func (w *world) sample() {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w.ended:
			return
		}
		held := w.engine().Held()
		w.mu.Lock()
		for _, m := range held {
			w.replicas.Add(faults.Replica{Endpoint: endpointID, Model: m, Permitted: w.permitted.Has(m)})
		}
		w.mu.Unlock()
	}
}

func (w *world) order(kind knapweedpulley.OrderKind, m knapweedpulley.ModelID, p knapweedpulley.Revision) error {
	a, killed := w.current()
	outcome := make(chan error, 1)
	go func() {
		outcome <- a.Order(context.Background(), knapweedpulley.Order{
			Kind: kind, Model: m, Size: modelSize, Permit: p, Timeout: orderTimeout,
		})
	}()
	select {
	case err := <-outcome:
		return err
	case <-killed:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun, "agent killed")
	}
}

// orderUntilDone repeats an order as an entry does until it succeeds.
func (w *world) orderUntilDone(kind knapweedpulley.OrderKind, m knapweedpulley.ModelID, p knapweedpulley.Revision) {
	const tries = 20
	for range tries {
		if w.order(kind, m, p) == nil {
			return
		}
		time.Sleep(retryPeriod)
	}
	w.t.Errorf("%s of %s is not done after %d tries", kind, m, tries)
}

// answer is what a caller gets.
type answer struct {
	body []byte
}

// WriteHead implements knapweedpulley.AnswerWriter.
func (w *answer) WriteHead(knapweedpulley.AnswerHead) error { return nil }

// Write implements knapweedpulley.AnswerWriter.
func (w *answer) Write(p []byte) (int, error) {
	w.body = append(w.body, p...)
	return len(p), nil
}

// call sends a request that may not be repeated; after a refusal as not run it
// is sent again while there is time.
func (w *world) call(ctx context.Context, id knapweedpulley.RequestID, c knapweedpulley.CustomerID) {
	r := knapweedpulley.Request{
		ID: id, Kind: knapweedpulley.KindChat, Customer: c, Model: "n", Body: []byte("answer to " + id),
		Charge: requestTokens, Weight: 1, Timeout: requestTimeout, Fingerprint: fingerprintOf(id),
	}
	start := time.Now()
	var body []byte
	var err error
	for {
		r.Timeout = requestTimeout - time.Since(start)
		body, err = w.attempt(ctx, r)
		if err == nil || knapweedpulley.VerdictOf(err) != knapweedpulley.NotRun || ctx.Err() != nil ||
			time.Since(start)+retryPeriod > requestTimeout/2 {
			break
		}
		if knapweedpulley.RefusalOf(err, "").Code == knapweedpulley.CodeNotReady {
			w.work.Go(func() { _ = w.order(load, "n", 1) })
		}
		time.Sleep(retryPeriod)
	}
	w.note(r, time.Since(start), body, err)
}

// attempt runs a request at the current agent. If that is killed meanwhile, all
// that is known is that the request may have run.
func (w *world) attempt(ctx context.Context, r knapweedpulley.Request) ([]byte, error) {
	a, killed := w.current()
	into := &answer{}
	outcome := make(chan error, 1)
	go func() {
		_, err := a.Run(ctx, r, into)
		outcome <- err
	}()
	select {
	case err := <-outcome:
		select {
		case <-killed:
		default:
			return into.body, err
		}
	case <-killed:
	}
	return nil, knapweedpulley.NewRefusal(knapweedpulley.CodeLinkLost, knapweedpulley.MayHaveRun, "agent killed")
}

func (w *world) note(r knapweedpulley.Request, took time.Duration, body []byte, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[r.ID] = r.Customer
	w.seen.Waits = append(w.seen.Waits, faults.Wait{Request: r.ID, Timeout: requestTimeout, Took: took, Ended: true})
	if err == nil {
		w.seen.Answers = append(w.seen.Answers, faults.Answer{Request: r.ID, Whole: string(body) == string(r.Body)})
		return
	}
	w.refused = append(w.refused, faults.Refusal{Request: r.ID, Verdict: knapweedpulley.VerdictOf(err)})
}

// traffic has two customers call for a time.
func (w *world) traffic(period, total time.Duration) {
	for i := range int(total / period) {
		for j, c := range []knapweedpulley.CustomerID{"iturralde", "idegenvezetok"} {
			w.calls.Go(func() {
				time.Sleep(time.Duration(i)*period + time.Duration(j)*apart)
				w.call(context.Background(), knapweedpulley.RequestID(fmt.Sprintf("%s-%d", c, i)), c)
			})
		}
	}
}

// finish ends the world and returns what it saw.
func (w *world) finish() faults.Observations {
	w.calls.Wait()
	time.Sleep(settleTime)
	close(w.ended)
	w.work.Wait()
	w.end()
	w.port.Wait()
	runs := make(map[knapweedpulley.RequestID]int)
	for _, e := range w.engines {
		e.Stop()
		record := e.Record()
		w.seen.Memories = append(w.seen.Memories, faults.Memory{Endpoint: endpointID, Total: engineMemory, Peak: record.Peak})
		for _, s := range record.Starts {
			runs[s.Request]++
			w.seen.Owners = append(w.seen.Owners, faults.Owner{Request: s.Request, Sent: w.sent[s.Request], Ran: s.Customer})
		}
	}
	synctest.Wait()
	for id, n := range runs {
		w.seen.Repeats = append(w.seen.Repeats, faults.Repeat{Request: id, Runs: n})
	}
	for _, r := range w.refused {
		r.Runs = runs[r.Request]
		w.seen.Refusals = append(w.seen.Refusals, r)
	}
	for r := range w.replicas {
		w.seen.Replicas = append(w.seen.Replicas, r)
	}
	return w.seen
}

// fingerprintOf marks the requests that are meant to crash an engine.
func fingerprintOf(id knapweedpulley.RequestID) knapweedpulley.Fingerprint {
	if id == "poison" {
		return poison
	}
	return 1
}

const poison knapweedpulley.Fingerprint = 666
