package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// patience is the time limit that callers send.
	patience = 2 * time.Second
	// callerPause is the time between two requests of a caller.
	callerPause = 15 * time.Millisecond
)

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	Safe   Kind = "safe"
	Unsafe Kind = "unsafe"
	Stream Kind = "stream"
	Once   Kind = "once"
)

// Outcome is a request as its caller saw it.
type Outcome struct {
	ID      string
	Kind    Kind
	Key     string
	Gateway *Gateway
	Sent    time.Time
	Took    time.Duration
	// Calm is for how long the gateway was undisturbed when the request was
	// sent, CalmAfter when it ended.
	Calm      time.Duration
	CalmAfter time.Duration
	// Status is zero without an answer. Whole is set if its body ended well.
	Status int
	Whole  bool
	Stamp  string
	Body   string
}

// Callers send requests until they are stopped.
type Callers struct {
	world *World

	mu       sync.Mutex
	outcomes []Outcome
}

// NewCallers returns callers of a world.
func NewCallers(w *World) *Callers {
	return &Callers{world: w}
}

// Outcomes returns what became of all requests.
func (c *Callers) Outcomes() []Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Outcome(nil), c.outcomes...)
}

// Run sends requests until ctx ends. The client keeps its connections.
func (c *Callers) Run(ctx context.Context, caller int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(caller))) //nolint:gosec // It needs no secrecy.
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		o := c.call(client, random, fmt.Sprintf("r-%d-%d", caller, n))
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		time.Sleep(callerPause)
	}
}

func (c *Callers) call(client *http.Client, random *rand.Rand, id string) Outcome {
	kinds := []Kind{Safe, Unsafe, Unsafe, Stream, Stream, Once}
	g := c.world.gateways[random.IntN(len(c.world.gateways))]
	o := Outcome{
		ID: id, Kind: kinds[random.IntN(len(kinds))], Key: c.world.Key(random), Gateway: g,
		Sent: time.Now(), Calm: c.world.Calm(g),
	}
	model := fmt.Sprintf("m%d", random.IntN(modelCount))
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+"/"+string(o.Kind)+"/x",
		io.NopCloser(strings.NewReader(id)))
	if err != nil {
		return o
	}
	r.Host = "h.example"
	r.ContentLength = int64(len(id))
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("Authorization", "Bearer "+o.Key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	if o.Kind == Stream || o.Kind == Once {
		r.Header.Set("X-Model", model)
		r.Header.Set("X-Token-Counts", "100,100")
	}
	answer, err := client.Do(r)
	if err == nil {
		o.Status, o.Stamp = answer.StatusCode, answer.Header.Get("X-Server-Stamp")
		body, err := io.ReadAll(answer.Body)
		o.Body, o.Whole = string(body), err == nil
		_ = answer.Body.Close()
	}
	o.Took = time.Since(o.Sent)
	o.CalmAfter = c.world.Calm(g)
	return o
}
