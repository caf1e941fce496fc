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
	leaseTime      = 3 * time.Second
	orderTimeout   = time.Minute
	samplePeriod   = 53 * time.Millisecond
	retryPeriod    = 537 * time.Millisecond
	settleTime     = time.Minute
	requestTimeout = 5 * time.Second
	requestTokens  = knapweedpulley.Tokens(100)
	tokenTime      = 10 * time.Millisecond
)

// virtualClock is the boot-time clock of a machine in a synctest bubble. It also
// counts the time for which the machine is suspended.
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

// harness runs one endpoint and its callers, and records which models the endpoint
// is permitted to hold.
type harness struct {
	t             *testing.T
	tokensChecked bool
	clock         *virtualClock
	engines       []*fake.Engine
	port          *fake.Connection
	agent         *agent.Agent
	cleanup       knapweedpulley.Cleanup
	// killed is closed when the current agent is killed.
	killed  chan struct{}
	stopped chan struct{}
	calls   sync.WaitGroup
	work    sync.WaitGroup

	mu        sync.Mutex
	permitted knapweedpulley.Set[knapweedpulley.ModelID]
	replicas  knapweedpulley.Set[faults.Replica]
	refused   []faults.Refusal
	sent      map[knapweedpulley.RequestID]knapweedpulley.CustomerID
	observed  faults.Observations
}

func newHarness(t *testing.T, checksFencing bool) *harness {
	t.Helper()
	h := &harness{
		t: t, tokensChecked: checksFencing, clock: &virtualClock{}, stopped: make(chan struct{}),
		permitted: knapweedpulley.NewSet[knapweedpulley.ModelID](),
		replicas:  knapweedpulley.NewSet[faults.Replica](),
		sent:      make(map[knapweedpulley.RequestID]knapweedpulley.CustomerID),
	}
	h.newMachine()
	h.work.Go(h.sample)
	return h
}

func (h *harness) engine() *fake.Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engines[len(h.engines)-1]
}

// newMachine starts a new engine and an agent for it.
func (h *harness) newMachine() {
	e := fake.NewEngine(fake.Settings{
		Memory: engineMemory, Slots: 4, ChecksFencing: h.tokensChecked, LoadTime: 8 * time.Second, UnloadTime: time.Second,
		TokenTime: tokenTime, RestartTime: 5 * time.Second,
		StateTime: 2 * time.Millisecond, OrderTime: 10 * time.Millisecond,
	})
	h.mu.Lock()
	h.engines = append(h.engines, e)
	h.mu.Unlock()
	h.newAgent()
}

func (h *harness) newAgent() {
	port := h.engine().Connect()
	s := agent.Settings{
		Endpoint: endpointID, Machine: "machine-1", Zone: "a",
		Engine: &agent.EngineSettings{ChecksFencing: h.tokensChecked},
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	a, cleanup, err := agent.New(s, agent.Backends{Engine: port}, h.clock, logger, tally.NoopScope)
	if err != nil {
		h.t.Fatal(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.port, h.agent, h.cleanup, h.killed = port, a, cleanup, make(chan struct{})
}

// killAgent stops the current agent without a shutdown and starts a new one.
func (h *harness) killAgent() {
	h.disconnectAgent()
	h.newAgent()
}

// reclaimMachine stops the engine and the agent, and starts a replacement machine.
func (h *harness) reclaimMachine() {
	h.engine().Stop()
	h.disconnectAgent()
	h.newMachine()
}

func (h *harness) disconnectAgent() {
	h.mu.Lock()
	port, cleanup, killed := h.port, h.cleanup, h.killed
	h.mu.Unlock()
	port.Cut()
	close(killed)
	cleanup()
}

func (h *harness) current() (*agent.Agent, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.agent, h.killed
}

// setPermitted sets whether the endpoint is allowed to hold a model.
func (h *harness) setPermitted(m knapweedpulley.ModelID, allowed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if allowed {
		h.permitted.Add(m)
		return
	}
	h.permitted.Remove(m)
}

// sample periodically records the models that the engine holds, and whether each
// is permitted.
func (h *harness) sample() {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-h.stopped:
			return
		}
		held := h.engine().Held()
		h.mu.Lock()
		for _, m := range held {
			h.replicas.Add(faults.Replica{Endpoint: endpointID, Model: m, Permitted: h.permitted.Has(m)})
		}
		h.mu.Unlock()
	}
}

func (h *harness) order(kind knapweedpulley.OrderKind, m knapweedpulley.ModelID, p knapweedpulley.Revision) error {
	a, killed := h.current()
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

// orderUntilDone retries an order until it succeeds, as an entry does.
func (h *harness) orderUntilDone(kind knapweedpulley.OrderKind, m knapweedpulley.ModelID, p knapweedpulley.Revision) {
	const tries = 20
	for range tries {
		if h.order(kind, m, p) == nil {
			return
		}
		time.Sleep(retryPeriod)
	}
	h.t.Errorf("%s of model %s failed %d times", kind, m, tries)
}

// answer buffers the answer that a caller gets.
type answer struct {
	body []byte
}

// WriteHead implements knapweedpulley.AnswerWriter.
func (a *answer) WriteHead(knapweedpulley.AnswerHead) error { return nil }

// Write implements knapweedpulley.AnswerWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.body = append(a.body, p...)
	return len(p), nil
}

// call sends a request that must not be repeated. It retries only after a refusal
// with the verdict NotRun, and only in the first half of the timeout.
func (h *harness) call(ctx context.Context, id knapweedpulley.RequestID, c knapweedpulley.CustomerID) {
	r := knapweedpulley.Request{
		ID: id, Kind: knapweedpulley.KindChat, Customer: c, Model: "n", Body: []byte("answer to " + id),
		Charge: requestTokens, Weight: 1, Timeout: requestTimeout, Fingerprint: fingerprintOf(id),
	}
	start := time.Now()
	var body []byte
	var err error
	for {
		r.Timeout = requestTimeout - time.Since(start)
		body, err = h.attempt(ctx, r)
		if err == nil || knapweedpulley.VerdictOf(err) != knapweedpulley.NotRun || ctx.Err() != nil ||
			time.Since(start)+retryPeriod > requestTimeout/2 {
			break
		}
		if knapweedpulley.RefusalOf(err, "").Code == knapweedpulley.CodeNotReady {
			h.work.Go(func() { _ = h.order(load, "n", 1) })
		}
		time.Sleep(retryPeriod)
	}
	h.recordOutcome(r, time.Since(start), body, err)
}

// attempt runs a request at the current agent. If the agent is killed before the
// outcome is known, the verdict is MayHaveRun.
func (h *harness) attempt(ctx context.Context, r knapweedpulley.Request) ([]byte, error) {
	a, killed := h.current()
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

func (h *harness) recordOutcome(r knapweedpulley.Request, took time.Duration, body []byte, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[r.ID] = r.Customer
	h.observed.Waits = append(h.observed.Waits, faults.Wait{Request: r.ID, Timeout: requestTimeout, Took: took, Ended: true})
	if err == nil {
		h.observed.Answers = append(h.observed.Answers, faults.Answer{Request: r.ID, Whole: string(body) == string(r.Body)})
		return
	}
	h.refused = append(h.refused, faults.Refusal{Request: r.ID, Verdict: knapweedpulley.VerdictOf(err)})
}

// traffic starts the requests of two customers, one each per period, for the time
// total.
func (h *harness) traffic(period, total time.Duration) {
	for i := range int(total / period) {
		for j, c := range []knapweedpulley.CustomerID{"iturralde", "idegenvezetok"} {
			h.calls.Go(func() {
				time.Sleep(time.Duration(i)*period + time.Duration(j)*staggerTime)
				h.call(context.Background(), knapweedpulley.RequestID(fmt.Sprintf("%s-%d", c, i)), c)
			})
		}
	}
}

// finish waits for the callers, stops the harness and returns its observations.
func (h *harness) finish() faults.Observations {
	h.calls.Wait()
	time.Sleep(settleTime)
	close(h.stopped)
	h.work.Wait()
	h.disconnectAgent()
	h.port.Wait()
	runs := make(map[knapweedpulley.RequestID]int)
	for _, e := range h.engines {
		e.Stop()
		record := e.Record()
		h.observed.Memories = append(h.observed.Memories, faults.Memory{Endpoint: endpointID, Total: engineMemory, Peak: record.Peak})
		for _, s := range record.Starts {
			runs[s.Request]++
			h.observed.Owners = append(h.observed.Owners, faults.Owner{Request: s.Request, Sent: h.sent[s.Request], Ran: s.Customer})
		}
	}
	synctest.Wait()
	for id, n := range runs {
		h.observed.Repeats = append(h.observed.Repeats, faults.Repeat{Request: id, Runs: n})
	}
	for _, r := range h.refused {
		r.Runs = runs[r.Request]
		h.observed.Refusals = append(h.observed.Refusals, r)
	}
	for r := range h.replicas {
		h.observed.Replicas = append(h.observed.Replicas, r)
	}
	return h.observed
}

// fingerprintOf returns crashingFingerprint for the request that crashes an engine.
func fingerprintOf(id knapweedpulley.RequestID) knapweedpulley.Fingerprint {
	if id == "poison" {
		return crashingFingerprint
	}
	return 1
}

const crashingFingerprint knapweedpulley.Fingerprint = 666
