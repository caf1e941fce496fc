package traffic

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
)

// requestTimeout bounds a request. It is longer than all deadlines of the templates,
// so that the system refuses a late request before the client gives up.
const requestTimeout = 40 * time.Second

// caller sends the requests of one customer to the entries in turn and adds the
// results to the tally.
type caller struct {
	deployment string
	customer   fleet.Customer
	entries    []fleet.Entry
	client     *http.Client
	tally      *Tally
	sent       atomic.Int64
	singleRuns *singleRunList
}

// add adds a result to the tally. The format describes what was wrong.
func (c *caller) add(kind string, outcome Outcome, format string, args ...any) {
	c.tally.Add(Result{
		Deployment: c.deployment, Kind: kind, Outcome: outcome,
		Fault: fmt.Sprintf("%s: ", c.customer.ID) + fmt.Sprintf(format, args...),
	})
}

// marker returns a text that is unique among all requests of the demo. The back ends
// count the runs of each marker.
func (c *caller) marker() string {
	return fmt.Sprintf("[[%s %d]]", c.customer.ID, c.sent.Add(1))
}

// entry returns the address of the i-th entry, modulo the number of entries.
func (c *caller) entry(i int) string {
	return c.entries[i%len(c.entries)].Listen
}

// newChatClient returns a client of the chat completions API for the i-th entry. The
// client doesn't retry, so each request is one attempt.
func (c *caller) newChatClient(i int, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(fmt.Sprintf("http://%s/v1/", c.entry(i))),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
		option.WithHTTPClient(c.client),
		option.WithRequestTimeout(requestTimeout),
	)
}

// singleRun is a request that must run at most once, with the number of runs that its
// answer implies.
type singleRun struct {
	marker string
	// wantRuns is the number of runs that the back ends must have counted, or
	// atMostOne.
	wantRuns int
}

// atMostOne stands for zero or one runs. It is expected of a request whose answer
// leaves open whether it has run.
const atMostOne = -1

// singleRunList collects the requests that must run at most once.
type singleRunList struct {
	mu   sync.Mutex
	list []singleRun
}

func (o *singleRunList) add(marker string, wantRuns int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, singleRun{marker: marker, wantRuns: wantRuns})
}

func (o *singleRunList) all() []singleRun {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.list
}
