package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/fleet"
)

const (
	// crashTimeout bounds the look whether an endpoint crashed and the telling
	// of the other gateways.
	crashTimeout = time.Second
	// maxCrashes bounds the crashes whose suspects are collected.
	maxCrashes = 256
)

// crash is one crash of an endpoint.
type crash struct {
	endpoint knapweedpulley.EndpointID
	start    uint64
}

// Crashes finds out which requests ran when an endpoint crashed. A content
// that did so twice is refused by all gateways.
type Crashes struct {
	list      knapweedpulley.SuspectList
	exchanger knapweedpulley.Exchanger
	fleet     *fleet.Fleet
	log       log.Interface

	mu       sync.Mutex
	suspects map[crash][]knapweedpulley.Fingerprint
}

// NewCrashes returns a finder that reports to a list.
func NewCrashes(
	list knapweedpulley.SuspectList, exchanger knapweedpulley.Exchanger, fleet *fleet.Fleet, log log.Interface,
) *Crashes {
	return &Crashes{
		list: list, exchanger: exchanger, fleet: fleet, log: log,
		suspects: make(map[crash][]knapweedpulley.Fingerprint),
	}
}

// State tells what is known of a content.
func (c *Crashes) State(f knapweedpulley.Fingerprint) knapweedpulley.SuspectState {
	return c.list.State(f)
}

// Broken tells that an exchange with an endpoint broke off. If the endpoint has
// crashed, the content is reported before Broken returns.
func (c *Crashes) Broken(e *fleet.Endpoint, f knapweedpulley.Fingerprint) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	entry := e.Entry()
	if !c.exchanger.Ended(ctx, entry.Address) {
		return
	}
	c.fleet.Lose(e)
	id := crash{endpoint: e.ID(), start: entry.Start}
	suspects := c.collect(id, f)
	c.log.WithField("endpoint", id.endpoint).WithField("start", id.start).WithField("content", f).
		WithField("suspects", len(suspects)).Warn("endpoint crashed while it ran a request")
	c.list.Report(ctx, knapweedpulley.SuspectReport{
		Endpoint: id.endpoint, Start: id.start, Fingerprints: suspects, Isolated: len(suspects) == 1,
	})
}

// collect returns all contents that were seen at a crash so far.
func (c *Crashes) collect(id crash, f knapweedpulley.Fingerprint) []knapweedpulley.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.suspects) >= maxCrashes {
		clear(c.suspects)
	}
	c.suspects[id] = append(c.suspects[id], f)
	return append([]knapweedpulley.Fingerprint(nil), c.suspects[id]...)
}
