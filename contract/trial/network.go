package trial

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// Faults is how the network delays, loses and duplicates messages.
type Faults struct {
	// Delay is the least time that a message takes in one direction. Jitter is the largest
	// random addition to it.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the probability that a message is lost in one direction, Duplicate the
	// probability that a request arrives twice.
	Loss      float64
	Duplicate float64
}

// healthyNetwork is a network with short delays that loses and duplicates nothing.
var healthyNetwork = Faults{Delay: 500 * time.Microsecond, Jitter: 200 * time.Microsecond}

var errLost = errors.New("message lost")

// processState is the state of one entry process as the network simulates it.
type processState int

const (
	running processState = iota
	// killed processes have released their port, so that requests to them are refused.
	killed
	// vanished processes were lost with their machine, so that requests to them time out.
	vanished
	// frozen processes receive their messages when they resume.
	frozen
)

// network carries messages between the entry processes of a fleet.
type network struct {
	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	states map[knapweedpulley.MemberID]processState
	// resumed holds a channel for each frozen process, which is closed when the process resumes.
	resumed map[knapweedpulley.MemberID]chan struct{}
	// disconnected is set for sender and receiver of messages that are lost.
	disconnected map[[2]knapweedpulley.EntryID]bool
	// blocked is set for sender and receiver of requests that get no connection.
	blocked  map[[2]knapweedpulley.EntryID]bool
	entries  map[knapweedpulley.MemberID]*Entry
	inFlight sync.WaitGroup
	// requests is the number of requests that were sent.
	requests int
}

func newNetwork(seed uint64, faults Faults) *network {
	return &network{
		random:       rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // Trials must be repeatable.
		faults:       faults,
		states:       make(map[knapweedpulley.MemberID]processState),
		resumed:      make(map[knapweedpulley.MemberID]chan struct{}),
		disconnected: make(map[[2]knapweedpulley.EntryID]bool),
		blocked:      make(map[[2]knapweedpulley.EntryID]bool),
		entries:      make(map[knapweedpulley.MemberID]*Entry),
	}
}

func (n *network) setState(id knapweedpulley.MemberID, s processState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.states[id] == frozen && s != frozen {
		close(n.resumed[id])
	}
	if s == frozen {
		n.resumed[id] = make(chan struct{})
	}
	n.states[id] = s
}

// disconnect disconnects two entry processes, or reconnects them if disconnect is false.
func (n *network) disconnect(a, b knapweedpulley.EntryID, disconnect bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[[2]knapweedpulley.EntryID{a, b}] = disconnect
	n.disconnected[[2]knapweedpulley.EntryID{b, a}] = disconnect
}

// setBlocked sets whether requests from one entry process to another get no connection.
func (n *network) setBlocked(from, to knapweedpulley.EntryID, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]knapweedpulley.EntryID{from, to}] = blocked
}

// deliver carries a message in one direction, and returns false if the message is lost.
func (n *network) deliver(from, to knapweedpulley.MemberID) bool {
	n.waitWhileFrozen(from)
	n.mu.Lock()
	delay := n.faults.Delay + time.Duration(n.random.Int64N(int64(n.faults.Jitter)+1))
	lost := n.random.Float64() < n.faults.Loss || n.disconnected[[2]knapweedpulley.EntryID{from.Entry, to.Entry}]
	n.mu.Unlock()
	time.Sleep(delay)
	if lost {
		return false
	}
	n.waitWhileFrozen(to)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.states[to] == running && n.states[from] != vanished
}

// waitWhileFrozen returns once a process is not frozen.
func (n *network) waitWhileFrozen(id knapweedpulley.MemberID) {
	for {
		n.mu.Lock()
		resumed := n.resumed[id]
		stillFrozen := n.states[id] == frozen
		n.mu.Unlock()
		if !stillFrozen {
			return
		}
		<-resumed
	}
}

// exchange sends a request, which handle answers at the receiver, and returns the answer. The
// request may arrive twice, and after the caller has stopped waiting.
func exchange[M any](
	ctx context.Context, n *network, from, to knapweedpulley.MemberID, handle func(*Entry) M,
) (M, error) {
	n.mu.Lock()
	n.requests++
	target := n.entries[to]
	blocked := n.blocked[[2]knapweedpulley.EntryID{from.Entry, to.Entry}]
	duplicated := n.random.Float64() < n.faults.Duplicate
	refused := n.states[to] == killed && !n.disconnected[[2]knapweedpulley.EntryID{from.Entry, to.Entry}]
	delay := n.faults.Delay
	n.mu.Unlock()
	var zero M
	if refused {
		time.Sleep(2 * delay)
		return zero, knapweedpulley.ErrNoListener
	}
	answers := make(chan M, 2)
	send := func() {
		if target == nil || blocked || !n.deliver(from, to) {
			return
		}
		if answer := handle(target); n.deliver(to, from) {
			answers <- answer
		}
	}
	n.inFlight.Go(send)
	if duplicated {
		n.inFlight.Go(send)
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return zero, errLost
	}
}

// Heartbeat implements knapweedpulley.HeartbeatLink.
func (e *Entry) Heartbeat(
	ctx context.Context, to knapweedpulley.Member, h knapweedpulley.Heartbeat,
) (knapweedpulley.Heartbeat, error) {
	return exchange(ctx, e.network, e.id(), to.ID(), func(t *Entry) knapweedpulley.Heartbeat {
		return t.members.HandleHeartbeat(h)
	})
}

// Exchange implements knapweedpulley.ShareLink.
func (e *Entry) Exchange(
	ctx context.Context, to knapweedpulley.Member, m knapweedpulley.ShareMessage,
) (knapweedpulley.ShareMessage, error) {
	return exchange(ctx, e.network, e.id(), to.ID(), func(t *Entry) knapweedpulley.ShareMessage {
		return t.limiter.HandleShares(m)
	})
}
