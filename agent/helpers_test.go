package agent_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/agent"
	"github.com/knapweedpulley/knapweedpulley/engine/fake"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

const (
	modelSize   = 4 * knapweedpulley.GiB
	lease       = 3 * time.Second
	longTimeout = 5 * time.Minute
)

// virtualClock is a boot-time clock inside a synctest bubble. A suspension advances it
// without advancing timers.
type virtualClock struct {
	mu        sync.Mutex
	suspended time.Duration
}

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

// harness is an agent connected to a fake engine.
type harness struct {
	t          *testing.T
	engine     *fake.Engine
	connection *fake.Connection
	agent      *agent.Agent
	cleanup    knapweedpulley.Cleanup
	clock      *virtualClock
	fencing    bool
}

func engineSettings() fake.Settings {
	return fake.Settings{
		Memory: 10 * knapweedpulley.GiB, Slots: 4, LoadTime: 8 * time.Second, UnloadTime: time.Second,
		TokenTime: 10 * time.Millisecond, RestartTime: 5 * time.Second,
		StateTime: 2 * time.Millisecond, OrderTime: 10 * time.Millisecond,
	}
}

// runInBubble runs f with a started agent in the virtual time of a synctest bubble.
func runInBubble(t *testing.T, s fake.Settings, f func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &harness{t: t, engine: fake.NewEngine(s), clock: &virtualClock{}, fencing: s.ChecksFencing}
		b.restart()
		f(b)
		b.cleanup()
		b.connection.Wait()
		b.engine.Stop()
		synctest.Wait()
	})
}

// restart starts a new agent on a new connection to the engine.
func (b *harness) restart() {
	b.connection = b.engine.Connect()
	s := agent.Settings{
		Endpoint: "endpoint-1", Machine: "machine-1", Zone: "a",
		Engine: &agent.EngineSettings{ChecksFencing: b.fencing},
		Queue:  agent.QueueSettings{MaxQueued: 32},
		Lease:  settings.Duration(lease),
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	var err error
	b.agent, b.cleanup, err = agent.New(s, agent.Backends{Engine: b.connection}, b.clock, logger, tally.NoopScope)
	is.New(b.t).NoErr(err)
}

// kill stops the agent and cuts its connection to the engine.
func (b *harness) kill() {
	b.connection.Cut()
	b.cleanup()
}

func (b *harness) order(kind knapweedpulley.OrderKind, m knapweedpulley.ModelID, permit knapweedpulley.Revision) error {
	return b.agent.Order(context.Background(), knapweedpulley.Order{
		Kind: kind, Model: m, Size: modelSize, Permit: permit, Timeout: longTimeout,
	})
}

func (b *harness) load(m knapweedpulley.ModelID) {
	b.t.Helper()
	is.New(b.t).NoErr(b.order(knapweedpulley.OrderLoadModel, m, 1))
}

// answer records the answer that a caller receives.
type answer struct {
	body []byte
	err  error
}

// WriteHead implements knapweedpulley.AnswerWriter.
func (w *answer) WriteHead(knapweedpulley.AnswerHead) error { return nil }

// Write implements knapweedpulley.AnswerWriter.
func (w *answer) Write(p []byte) (int, error) {
	w.body = append(w.body, p...)
	return len(p), nil
}

func (b *harness) run(ctx context.Context, r knapweedpulley.Request) *answer {
	w := &answer{}
	_, w.err = b.agent.Run(ctx, r, w)
	return w
}

func request(id knapweedpulley.RequestID, c knapweedpulley.CustomerID) knapweedpulley.Request {
	return knapweedpulley.Request{
		ID: id, Kind: knapweedpulley.KindChat, Customer: c, Model: "m", Body: []byte("answer to " + id),
		Charge: 100, Weight: 1, Timeout: time.Minute,
	}
}

func (b *harness) held(m knapweedpulley.ModelID) bool {
	s, err := b.engine.State(context.Background())
	is.New(b.t).NoErr(err)
	for _, l := range s.Models {
		if l.Model == m {
			return true
		}
	}
	return false
}

func assertRefused(t *testing.T, err error, code knapweedpulley.Code, v knapweedpulley.Verdict) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil)
	is.Equal(knapweedpulley.RefusalOf(err, "").Code, code)
	is.Equal(knapweedpulley.VerdictOf(err), v)
}

func assertAnswered(t *testing.T, a *answer, r knapweedpulley.Request) {
	t.Helper()
	is := is.New(t)
	is.NoErr(a.err)
	is.Equal(string(a.body), string(r.Body))
}

func assertMemoryNotOvercommitted(t *testing.T, b *harness) {
	t.Helper()
	peak := b.engine.Record().Peak
	if peak > engineSettings().Memory {
		t.Errorf("memory overcommitted: %s of %s", peak, engineSettings().Memory)
	}
}
