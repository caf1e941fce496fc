package link

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// ClaimSender implements knapweedpulley.ClaimForwarder over gRPC.
type ClaimSender struct {
	connections *Connections
}

// NewClaimSender returns a sender that uses the given connections.
func NewClaimSender(connections *Connections) *ClaimSender {
	return &ClaimSender{connections: connections}
}

func (s *ClaimSender) client(to knapweedpulley.Member) (linkpb.ClaimServiceClient, error) {
	conn, err := s.connections.To(to.Address)
	if err != nil {
		return nil, err
	}
	return linkpb.NewClaimServiceClient(conn), nil
}

// ForwardClaim implements knapweedpulley.ClaimForwarder.
func (s *ClaimSender) ForwardClaim(
	ctx context.Context, to knapweedpulley.Member, c knapweedpulley.Claim,
) (knapweedpulley.ClaimResult, error) {
	client, err := s.client(to)
	if err != nil {
		return knapweedpulley.ClaimResult{}, err
	}
	answer, err := client.Claim(ctx, &linkpb.ClaimRequest{Claim: encodeClaim(c)})
	if err != nil {
		return knapweedpulley.ClaimResult{}, errors.Wrapf(err, "forward claim to %s", to.Entry)
	}
	if err := decodeRefusal(answer.GetRefusal()); err != nil {
		return knapweedpulley.ClaimResult{}, err
	}
	return knapweedpulley.ClaimResult{
		State:  knapweedpulley.ClaimState(answer.GetState()),
		Answer: decodeAnswer(answer.GetAnswer()),
	}, nil
}

// ForwardAnswer implements knapweedpulley.ClaimForwarder.
func (s *ClaimSender) ForwardAnswer(
	ctx context.Context, to knapweedpulley.Member, c knapweedpulley.Claim, a knapweedpulley.Answer,
) error {
	client, err := s.client(to)
	if err != nil {
		return err
	}
	answer, err := client.RecordAnswer(ctx, &linkpb.RecordAnswerRequest{Claim: encodeClaim(c), Answer: encodeAnswer(a)})
	if err != nil {
		return errors.Wrapf(err, "forward answer to %s", to.Entry)
	}
	return decodeRefusal(answer.GetRefusal())
}

// ForwardRelease implements knapweedpulley.ClaimForwarder.
func (s *ClaimSender) ForwardRelease(
	ctx context.Context, to knapweedpulley.Member, c knapweedpulley.Claim,
) error {
	client, err := s.client(to)
	if err != nil {
		return err
	}
	answer, err := client.ReleaseClaim(ctx, &linkpb.ReleaseClaimRequest{Claim: encodeClaim(c)})
	if err != nil {
		return errors.Wrapf(err, "forward release to %s", to.Entry)
	}
	return decodeRefusal(answer.GetRefusal())
}

// claimServer handles the claims of other entry processes.
type claimServer struct {
	linkpb.UnimplementedClaimServiceServer
	claimer knapweedpulley.Claimer
}

// RegisterClaims registers the service that passes the claims of other entry
// processes to claimer, which must not forward them again.
func RegisterClaims(r grpc.ServiceRegistrar, claimer knapweedpulley.Claimer) {
	linkpb.RegisterClaimServiceServer(r, &claimServer{claimer: claimer})
}

// Claim implements linkpb.ClaimServiceServer.
func (s *claimServer) Claim(ctx context.Context, m *linkpb.ClaimRequest) (*linkpb.ClaimResponse, error) {
	result, err := s.claimer.Claim(ctx, decodeClaim(m.GetClaim()))
	return &linkpb.ClaimResponse{
		Refusal: encodeRefusal(err, knapweedpulley.CodeStoreUnavailable),
		State:   int32(result.State),
		Answer:  encodeAnswer(result.Answer),
	}, nil
}

// RecordAnswer implements linkpb.ClaimServiceServer.
func (s *claimServer) RecordAnswer(
	ctx context.Context, m *linkpb.RecordAnswerRequest,
) (*linkpb.RecordAnswerResponse, error) {
	err := s.claimer.RecordAnswer(ctx, decodeClaim(m.GetClaim()), decodeAnswer(m.GetAnswer()))
	return &linkpb.RecordAnswerResponse{Refusal: encodeRefusal(err, knapweedpulley.CodeStoreUnavailable)}, nil
}

// ReleaseClaim implements linkpb.ClaimServiceServer.
func (s *claimServer) ReleaseClaim(
	ctx context.Context, m *linkpb.ReleaseClaimRequest,
) (*linkpb.ReleaseClaimResponse, error) {
	err := s.claimer.Release(ctx, decodeClaim(m.GetClaim()))
	return &linkpb.ReleaseClaimResponse{Refusal: encodeRefusal(err, knapweedpulley.CodeStoreUnavailable)}, nil
}

func encodeClaim(c knapweedpulley.Claim) *linkpb.Claim {
	return &linkpb.Claim{
		Customer:    string(c.Customer),
		Route:       string(c.Route),
		Key:         string(c.Key),
		Request:     string(c.Request),
		Fingerprint: uint64(c.Fingerprint),
		Attempt:     c.Attempt,
	}
}

func decodeClaim(m *linkpb.Claim) knapweedpulley.Claim {
	return knapweedpulley.Claim{
		Customer:    knapweedpulley.CustomerID(m.GetCustomer()),
		Route:       knapweedpulley.RouteID(m.GetRoute()),
		Key:         knapweedpulley.IdempotencyKey(m.GetKey()),
		Request:     knapweedpulley.RequestID(m.GetRequest()),
		Fingerprint: knapweedpulley.Fingerprint(m.GetFingerprint()),
		Attempt:     m.GetAttempt(),
	}
}

func encodeAnswer(a knapweedpulley.Answer) *linkpb.Answer {
	return &linkpb.Answer{Status: int32(a.Head.Status), Header: encodeHeader(a.Head.Header), Body: a.Body}
}

func decodeAnswer(m *linkpb.Answer) knapweedpulley.Answer {
	head := knapweedpulley.AnswerHead{Status: int(m.GetStatus()), Header: decodeHeader(m.GetHeader())}
	return knapweedpulley.Answer{Head: head, Body: m.GetBody()}
}
