package fake

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// ErrCutOff is the error of reads through an access that is cut off.
var ErrCutOff = errors.New("cut off from the store")

// Reachability says what happens to the calls of an access.
type Reachability int

// Reachabilities.
const (
	Reachable Reachability = iota
	// Refused calls fail at once.
	Refused
	// Unanswered calls fail after their timeout.
	Unanswered
)

// Access is one process's access to a store that several processes share. Its lists and watches can
// be cut off, and its connections silenced or reset. Like an HTTP client, it keeps idle connections,
// uses them first, and closes them when a call fails.
type Access struct {
	knapweedpulley.ObjectStore
	timeout time.Duration

	mu           sync.Mutex
	reachability Reachability
	// current is the state of new connections, idle the states of the idle ones.
	current *connectionState
	idle    []*connectionState
}

// connectionState is shared by all connections that were opened between two disruptions.
type connectionState struct {
	// silent and reset are closed when the connections go silent or are reset.
	silent, reset chan struct{}
}

func newConnectionState() *connectionState {
	return &connectionState{silent: make(chan struct{}), reset: make(chan struct{})}
}

// NewAccess returns an access that is not cut off. The timeout bounds a call; a watch may take its wait
// in addition.
func NewAccess(s knapweedpulley.ObjectStore, timeout time.Duration) *Access {
	return &Access{ObjectStore: s, timeout: timeout, current: newConnectionState()}
}

// CutOff makes further lists and watches fail at once, or succeed again.
func (a *Access) CutOff(cutOff bool) {
	if cutOff {
		a.SetReachability(Refused)
		return
	}
	a.SetReachability(Reachable)
}

// SetReachability sets what happens to further lists and watches.
func (a *Access) SetReachability(r Reachability) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reachability = r
}

// IsCutOff reports whether lists and watches fail.
func (a *Access) IsCutOff() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reachability != Reachable
}

// SilenceConnections makes all open connections deliver nothing more. New ones work.
func (a *Access) SilenceConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.current.silent)
	a.current = newConnectionState()
}

// ResetConnections resets all open connections. New ones work.
func (a *Access) ResetConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.current.reset)
	a.current, a.idle = newConnectionState(), nil
}

// List implements knapweedpulley.ObjectStore.
func (a *Access) List(ctx context.Context, kind knapweedpulley.Kind) (knapweedpulley.Listing, error) {
	var l knapweedpulley.Listing
	err := a.call(ctx, 0, func(ctx context.Context) (err error) {
		l, err = a.ObjectStore.List(ctx, kind)
		return err
	})
	return l, err
}

// Watch implements knapweedpulley.ObjectStore.
func (a *Access) Watch(
	ctx context.Context, kind knapweedpulley.Kind, after knapweedpulley.Revision, wait time.Duration,
) ([]knapweedpulley.Change, knapweedpulley.Revision, error) {
	var changes []knapweedpulley.Change
	var revision knapweedpulley.Revision
	err := a.call(ctx, wait, func(ctx context.Context) (err error) {
		changes, revision, err = a.ObjectStore.Watch(ctx, kind, after, wait)
		return err
	})
	return changes, revision, err
}

// call makes a call over an idle connection or a new one.
func (a *Access) call(ctx context.Context, wait time.Duration, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout+wait)
	defer cancel()
	state, err := a.open(ctx)
	if err != nil {
		return err
	}
	answer := make(chan error, 1)
	go func() { answer <- call(ctx) }()
	select {
	case <-state.silent:
		// What the store answers is lost.
		<-ctx.Done()
		return a.lose(ctx.Err(), answer)
	case <-state.reset:
		cancel()
		return a.lose(errors.New("connection reset"), answer)
	case err := <-answer:
		a.mu.Lock()
		defer a.mu.Unlock()
		a.idle = append(a.idle, state)
		return err
	}
}

// open returns the state of an idle connection, or of a new one.
func (a *Access) open(ctx context.Context) (*connectionState, error) {
	a.mu.Lock()
	reachability, state := a.reachability, a.current
	if last := len(a.idle) - 1; last >= 0 {
		state, a.idle = a.idle[last], a.idle[:last]
	}
	a.mu.Unlock()
	switch reachability {
	case Refused:
		return nil, ErrCutOff
	case Unanswered:
		<-ctx.Done()
		return nil, ErrCutOff
	default:
		return state, nil
	}
}

// lose waits for the end of a call whose connection was lost, closes the idle connections and returns
// the error of the call.
func (a *Access) lose(err error, ended <-chan error) error {
	if answer := <-ended; answer != nil {
		err = errors.WithSecondaryError(err, answer)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idle = nil
	return errors.Mark(err, knapweedpulley.ErrConnectionLost)
}
