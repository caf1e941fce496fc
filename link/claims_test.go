package link_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link"
)

// echoClaimer returns the answer that was recorded last.
type echoClaimer struct {
	answered knapweedpulley.Answer
	released knapweedpulley.Claim
}

func (e *echoClaimer) Claim(_ context.Context, c knapweedpulley.Claim) (knapweedpulley.ClaimResult, error) {
	if c.Customer == "" {
		return knapweedpulley.ClaimResult{}, knapweedpulley.NewRefusal(
			knapweedpulley.CodeStoreUnavailable, knapweedpulley.NotRun, "no store")
	}
	return knapweedpulley.ClaimResult{State: knapweedpulley.ClaimAnswered, Answer: e.answered}, nil
}

func (e *echoClaimer) RecordAnswer(_ context.Context, _ knapweedpulley.Claim, a knapweedpulley.Answer) error {
	e.answered = a
	return nil
}

func (e *echoClaimer) Release(_ context.Context, c knapweedpulley.Claim) error {
	e.released = c
	return nil
}

func TestClaims(t *testing.T) {
	echo := &echoClaimer{}
	server, stop, err := link.NewServer("127.0.0.1:0", nil, func(r grpc.ServiceRegistrar) {
		link.RegisterClaims(r, echo)
	})
	is.New(t).NoErr(err)
	t.Cleanup(stop)
	connections, disconnect := link.NewConnections(nil)
	t.Cleanup(disconnect)
	sender := link.NewClaimSender(connections)
	to := knapweedpulley.Member{Entry: "entry-2", Address: server.Address()}
	c := knapweedpulley.Claim{Customer: "c", Route: "r", Key: "k", Request: "q", Fingerprint: 1 << 63, Attempt: 2}

	t.Run("a claim returns the recorded answer unchanged", func(t *testing.T) {
		is := is.New(t)
		a := knapweedpulley.Answer{Head: knapweedpulley.AnswerHead{
			Status: 201, Header: []knapweedpulley.HeaderField{{Name: "A", Value: "b"}},
		}, Body: []byte("x")}
		is.NoErr(sender.ForwardAnswer(t.Context(), to, c, a))
		result, err := sender.ForwardClaim(t.Context(), to, c)
		is.NoErr(err)
		is.Equal(result, knapweedpulley.ClaimResult{State: knapweedpulley.ClaimAnswered, Answer: a})
	})
	t.Run("a claim arrives with all its fields", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(sender.ForwardRelease(t.Context(), to, c))
		is.Equal(echo.released, c)
	})
	t.Run("a refusal of a claim keeps its verdict", func(t *testing.T) {
		_, err := sender.ForwardClaim(t.Context(), to, knapweedpulley.Claim{})
		is.New(t).Equal(knapweedpulley.VerdictOf(err), knapweedpulley.NotRun)
	})
}
