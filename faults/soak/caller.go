package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// shortTimeout and longTimeout are the deadlines that callers send in X-Deadline-Ms.
	shortTimeout = 2 * time.Second
	longTimeout  = 3 * time.Second
	// longBodyTimeout is the deadline of requests with long bodies.
	longBodyTimeout = 5 * time.Second
	// longBodySize is the size in bytes of a long body. The buffers of a connection can't hold it.
	longBodySize = 4 << 20
	// requestPause is the pause between the end of a caller's request and its next one.
	requestPause = 15 * time.Millisecond
	// longBodyPause is that pause for requests with long bodies.
	longBodyPause = 100 * time.Millisecond
)

// Kind is a kind of request. It is also the name of the route.
type Kind string

// Kinds of requests.
const (
	Safe   Kind = "safe"
	Unsafe Kind = "unsafe"
	Stream Kind = "stream"
	Once   Kind = "once"
	// Late is the route to an endpoint that starts while the list of endpoints has an odd entry.
	Late Kind = "late"
	// Cold is the route to an endpoint that is cold after its start.
	Cold Kind = "cold"
	// Long is the route of requests with long bodies, which run at most once.
	Long Kind = "long"
)

// Outcome is a request and its result as observed by the caller.
type Outcome struct {
	ID      string
	Kind    Kind
	Key     string
	Model   string
	Gateway *Gateway
	Timeout time.Duration
	// Deadly is set if the prompt has a part that crashes engines.
	Deadly bool
	Prompt string
	Sent   time.Time
	// BodyAt is when the body is sent, if it is sent later than the header.
	BodyAt  time.Time
	Elapsed time.Duration
	// UndisturbedAtStart is how long the gateway had been undisturbed when the request
	// was sent, UndisturbedAtEnd when it ended.
	UndisturbedAtStart time.Duration
	UndisturbedAtEnd   time.Duration
	// InTouch is set if the gateway was neither signaled nor cut from the store from recoveryTime before
	// the request until its end.
	InTouch bool
	// RunsUndisturbed is set if the endpoints that ran the request were undisturbed meanwhile.
	RunsUndisturbed bool
	// PathUndisturbedAtEnd is how long the gateway's process and the endpoints that ran the request had
	// been undisturbed when it ended.
	PathUndisturbedAtEnd time.Duration
	// Status is zero if there was no answer. Complete is set if the body was read to its
	// end without an error.
	Status   int
	Complete bool
	Stamp    string
	Body     string
}

// Callers sends requests to the gateways of a cluster and records their outcomes.
type Callers struct {
	cluster *Cluster

	mu       sync.Mutex
	outcomes []Outcome
}

// NewCallers returns callers of a cluster that have sent nothing yet.
func NewCallers(cluster *Cluster) *Callers {
	return &Callers{cluster: cluster}
}

// Outcomes returns the outcomes of all requests that have ended.
func (c *Callers) Outcomes() []Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Outcome(nil), c.outcomes...)
}

// Run sends one caller's requests one after another until ctx ends. The caller reuses
// its connections.
func (c *Callers) Run(ctx context.Context, caller int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(caller))) //nolint:gosec // It needs no secrecy.
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		o := c.call(client, random, fmt.Sprintf("r-%d-%d", caller, n))
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		time.Sleep(requestPause)
	}
}

// RunLong sends one caller's requests with long bodies one after another until ctx ends.
func (c *Callers) RunLong(ctx context.Context, caller int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(caller))) //nolint:gosec // It needs no secrecy.
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		g := c.cluster.gateways[random.IntN(len(c.cluster.gateways))]
		o := Outcome{
			ID: fmt.Sprintf("l-%d-%d", caller, n), Kind: Long, Key: c.cluster.RandomKey(random), Gateway: g, Timeout: longBodyTimeout,
			Sent: time.Now(), UndisturbedAtStart: c.cluster.UndisturbedFor(g),
		}
		c.cluster.send(client, &o, "")
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		time.Sleep(longBodyPause)
	}
}

func (c *Callers) call(client *http.Client, random *rand.Rand, id string) Outcome {
	g := c.cluster.gateways[random.IntN(len(c.cluster.gateways))]
	o := c.draw(random, id, g)
	c.cluster.send(client, &o, o.Model)
	return o
}

// draw draws the request of a caller to a gateway.
func (c *Callers) draw(random *rand.Rand, id string, g *Gateway) Outcome {
	kinds := []Kind{Safe, Unsafe, Unsafe, Stream, Stream, Once}
	o := Outcome{
		ID: id, Kind: kinds[random.IntN(len(kinds))], Key: c.cluster.RandomKey(random), Gateway: g,
		Sent: time.Now(), UndisturbedAtStart: c.cluster.UndisturbedFor(g),
	}
	o.Model = fmt.Sprintf("m%d", random.IntN(modelCount))
	o.Timeout = []time.Duration{shortTimeout, longTimeout}[random.IntN(2)]
	o.Prompt = promptParts(&o, o.Model, c.cluster.recorder.DeadlyPart(), random)
	o.Model += adapterOf(id, o.Model)
	return o
}

// lateReader reads nothing before a time.
type lateReader struct {
	io.Reader
	at time.Time
}

// Read implements io.Reader.
func (r *lateReader) Read(p []byte) (int, error) {
	time.Sleep(time.Until(r.at))
	return r.Reader.Read(p)
}

// adapterOf returns the adapter that a request to a model asks for, behind a slash, or an empty
// string. The adapters are those of one model, and more than an engine holds.
func adapterOf(request, model string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(request))
	if n := h.Sum32() % (2 * (adapterSlots + 1)); model == "m0" && n <= adapterSlots {
		return fmt.Sprint("/a", n)
	}
	return ""
}

// send sends a request and completes its outcome.
func (c *Cluster) send(client *http.Client, o *Outcome, model string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*o.Timeout)
	defer cancel()
	requestBody := o.ID
	if o.Kind == Long {
		requestBody = strings.Repeat("x", longBodySize)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Gateway.callerAddress+"/"+string(o.Kind)+"/x",
		io.NopCloser(&lateReader{Reader: strings.NewReader(requestBody), at: o.BodyAt}))
	if err != nil {
		return
	}
	r.Host = "h.example"
	r.ContentLength = int64(len(requestBody))
	r.Header.Set("X-Request-Id", o.ID)
	r.Header.Set("Authorization", "Bearer "+o.Key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(o.Timeout.Milliseconds()))
	if o.Kind == Stream || o.Kind == Once {
		r.Header.Set("X-Model", model)
		r.Header.Set("X-Token-Counts", "100,100")
		r.Header.Set("X-Prompt-Prefix", o.Prompt)
	}
	answer, err := client.Do(r)
	if err == nil {
		o.Status, o.Stamp = answer.StatusCode, answer.Header.Get("X-Server-Stamp")
		body, err := io.ReadAll(answer.Body)
		o.Body, o.Complete = string(body), err == nil
		_ = answer.Body.Close()
	}
	o.Elapsed = time.Since(o.Sent)
	o.UndisturbedAtEnd = c.UndisturbedFor(o.Gateway)
	o.InTouch = min(o.Gateway.UndisturbedFor(), o.Gateway.storeProxy.UndisturbedFor()) >= o.Elapsed+recoveryTime
	o.RunsUndisturbed, o.PathUndisturbedAtEnd = true, o.Gateway.UndisturbedFor()
	for _, n := range c.recorder.Runs(o.ID) {
		o.PathUndisturbedAtEnd = min(o.PathUndisturbedAtEnd, n.endpoint.UndisturbedFor())
		o.RunsUndisturbed = o.RunsUndisturbed && n.endpoint.UndisturbedFor() > time.Since(n.StartedAt)
	}
}
