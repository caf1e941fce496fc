// Package fake connects configurations within one process, for tests in virtual time.
//
// # Usage
//
//	links := fake.NewLinks()
//	c, cleanup := configuration.New(configuration.Options{Link: links, …})
//	links.Add(member, c)
package fake

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// errNotFound means that no source has been added for a member.
var errNotFound = errors.New("the member has no source")

// Links implements knapweedpulley.ConfigurationLink for sources in the same process.
type Links struct {
	mu      sync.Mutex
	sources map[string]knapweedpulley.ConfigurationSource
	silent  knapweedpulley.Set[string]
	// streamsSilent is closed when the open streams go silent.
	streamsSilent chan struct{}
}

// NewLinks returns links without sources.
func NewLinks() *Links {
	return &Links{
		sources: make(map[string]knapweedpulley.ConfigurationSource), silent: make(knapweedpulley.Set[string]),
		streamsSilent: make(chan struct{}),
	}
}

// Add makes the source of a member reachable.
func (l *Links) Add(m knapweedpulley.Member, s knapweedpulley.ConfigurationSource) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources[m.Address] = s
}

// Silence makes the source of a member send nothing more, as if its machine were frozen.
func (l *Links) Silence(m knapweedpulley.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent.Add(m.Address)
}

// SilenceStreams makes all open streams deliver nothing more. New ones work.
func (l *Links) SilenceStreams() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.streamsSilent)
	l.streamsSilent = make(chan struct{})
}

func (l *Links) isSilent(s *stream) bool {
	select {
	case <-s.silent:
		return true
	default:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent.Has(s.to)
}

// openStreamsSilent returns the channel that is closed when the streams that are opened now go silent.
func (l *Links) openStreamsSilent() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streamsSilent
}

func (l *Links) source(to knapweedpulley.Member) (knapweedpulley.ConfigurationSource, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.sources[to.Address]
	if !known {
		return nil, errNotFound
	}
	return s, nil
}

// Subscribe implements knapweedpulley.ConfigurationLink.
func (l *Links) Subscribe(ctx context.Context, to knapweedpulley.Member) (knapweedpulley.ConfigurationStream, error) {
	s, err := l.source(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	t := &stream{
		ctx: ctx, links: l, to: to.Address, silent: l.openStreamsSilent(),
		pings: make(chan knapweedpulley.ConfigurationPing), updates: make(chan knapweedpulley.ConfigurationUpdate),
	}
	go func() {
		defer cancel()
		_ = s.Feed(ctx, sourceEnd{t})
	}()
	return t, nil
}

// Await implements knapweedpulley.ConfigurationLink.
func (l *Links) Await(
	ctx context.Context, to knapweedpulley.Member, kind knapweedpulley.Kind, revision knapweedpulley.Revision,
) (knapweedpulley.ConfigurationReport, error) {
	s, err := l.source(to)
	if err != nil {
		return knapweedpulley.ConfigurationReport{}, err
	}
	return s.Await(ctx, kind, revision)
}

// stream is the subscriber's end of a subscription.
type stream struct {
	ctx     context.Context
	links   *Links
	to      string
	silent  <-chan struct{}
	pings   chan knapweedpulley.ConfigurationPing
	updates chan knapweedpulley.ConfigurationUpdate
}

// Send implements knapweedpulley.ConfigurationStream.
func (s *stream) Send(p knapweedpulley.ConfigurationPing) error {
	return send(s, s.pings, p)
}

// Receive implements knapweedpulley.ConfigurationStream.
func (s *stream) Receive() (knapweedpulley.ConfigurationUpdate, error) {
	return receive(s.ctx, s.updates)
}

// sourceEnd is the source's end of a subscription.
type sourceEnd struct{ *stream }

// Send implements knapweedpulley.ConfigurationSubscriber.
func (s sourceEnd) Send(u knapweedpulley.ConfigurationUpdate) error {
	return send(s.stream, s.updates, u)
}

// Receive implements knapweedpulley.ConfigurationSubscriber.
func (s sourceEnd) Receive() (knapweedpulley.ConfigurationPing, error) {
	return receive(s.ctx, s.pings)
}

func send[T any](s *stream, to chan<- T, message T) error {
	if s.links.isSilent(s) {
		return nil
	}
	select {
	case to <- message:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func receive[T any](ctx context.Context, from <-chan T) (T, error) {
	select {
	case message := <-from:
		return message, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}
