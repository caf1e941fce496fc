package link

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// ConfigurationClient implements knapweedpulley.ConfigurationLink over gRPC.
type ConfigurationClient struct {
	connections *Connections
}

// NewConfigurationClient returns a client that uses the given connections.
func NewConfigurationClient(connections *Connections) *ConfigurationClient {
	return &ConfigurationClient{connections: connections}
}

// Subscribe implements knapweedpulley.ConfigurationLink.
func (c *ConfigurationClient) Subscribe(
	ctx context.Context, to knapweedpulley.Member,
) (knapweedpulley.ConfigurationStream, error) {
	conn, err := c.connections.To(to.Address)
	if err != nil {
		return nil, err
	}
	stream, err := linkpb.NewConfigurationServiceClient(conn).Subscribe(ctx)
	if err != nil {
		c.connections.Discard(to.Address)
		return nil, errors.Wrapf(err, "subscribe to %s", to.Address)
	}
	return subscriberStream{stream, func() { c.connections.Discard(to.Address) }}, nil
}

// Await implements knapweedpulley.ConfigurationLink.
func (c *ConfigurationClient) Await(
	ctx context.Context, to knapweedpulley.Member, kind knapweedpulley.Kind, revision knapweedpulley.Revision,
) (knapweedpulley.ConfigurationReport, error) {
	conn, err := c.connections.To(to.Address)
	if err != nil {
		return knapweedpulley.ConfigurationReport{}, err
	}
	m, err := linkpb.NewConfigurationServiceClient(conn).Await(ctx, &linkpb.ConfigurationAwaitRequest{
		Kind: string(kind), Revision: uint64(revision),
	})
	if err != nil {
		return knapweedpulley.ConfigurationReport{}, errors.Wrapf(err, "await configuration of %s", to.Address)
	}
	return decodeConfigurationReport(m), nil
}

// subscriberStream is the subscriber's side of a subscription.
type subscriberStream struct {
	stream          grpc.BidiStreamingClient[linkpb.ConfigurationPing, linkpb.ConfigurationUpdate]
	closeConnection func()
}

// Send implements knapweedpulley.ConfigurationStream.
func (s subscriberStream) Send(p knapweedpulley.ConfigurationPing) error {
	return s.stream.Send(&linkpb.ConfigurationPing{
		Sent: int64(p.Sent), Seen: p.Seen, Have: encodeConfigurationStates(p.Have),
	})
}

// Receive implements knapweedpulley.ConfigurationStream.
func (s subscriberStream) Receive() (knapweedpulley.ConfigurationUpdate, error) {
	m, err := s.stream.Recv()
	if err != nil {
		// The subscription may have ended because the connection stopped delivering data.
		s.closeConnection()
		return knapweedpulley.ConfigurationUpdate{}, err
	}
	u := knapweedpulley.ConfigurationUpdate{
		Echo: knapweedpulley.Instant(m.GetEcho()), EchoAt: knapweedpulley.Instant(m.GetEchoAt()),
	}
	for _, p := range m.GetParts() {
		u.Parts = append(u.Parts, decodeConfigurationPart(p))
	}
	return u, nil
}

// configurationServer serves the configuration of an entry to other entry processes.
type configurationServer struct {
	linkpb.UnimplementedConfigurationServiceServer
	source knapweedpulley.ConfigurationSource
}

// RegisterConfiguration registers the service that sends the configuration of
// source to other entry processes.
func RegisterConfiguration(r grpc.ServiceRegistrar, source knapweedpulley.ConfigurationSource) {
	linkpb.RegisterConfigurationServiceServer(r, &configurationServer{source: source})
}

// Subscribe implements linkpb.ConfigurationServiceServer.
func (s *configurationServer) Subscribe(
	stream grpc.BidiStreamingServer[linkpb.ConfigurationPing, linkpb.ConfigurationUpdate],
) error {
	return s.source.Feed(stream.Context(), sourceStream{stream})
}

// Await implements linkpb.ConfigurationServiceServer.
func (s *configurationServer) Await(
	ctx context.Context, m *linkpb.ConfigurationAwaitRequest,
) (*linkpb.ConfigurationReport, error) {
	report, err := s.source.Await(ctx, knapweedpulley.Kind(m.GetKind()), knapweedpulley.Revision(m.GetRevision()))
	if err != nil {
		return nil, err
	}
	return encodeConfigurationReport(report), nil
}

// sourceStream is the source's side of a subscription.
type sourceStream struct {
	stream grpc.BidiStreamingServer[linkpb.ConfigurationPing, linkpb.ConfigurationUpdate]
}

// Send implements knapweedpulley.ConfigurationSubscriber.
func (s sourceStream) Send(u knapweedpulley.ConfigurationUpdate) error {
	m := &linkpb.ConfigurationUpdate{Echo: int64(u.Echo), EchoAt: int64(u.EchoAt)}
	for _, p := range u.Parts {
		m.Parts = append(m.Parts, encodeConfigurationPart(p))
	}
	return s.stream.Send(m)
}

// Receive implements knapweedpulley.ConfigurationSubscriber.
func (s sourceStream) Receive() (knapweedpulley.ConfigurationPing, error) {
	m, err := s.stream.Recv()
	if err != nil {
		return knapweedpulley.ConfigurationPing{}, err
	}
	return knapweedpulley.ConfigurationPing{
		Sent: knapweedpulley.Instant(m.GetSent()), Seen: m.GetSeen(), Have: decodeConfigurationStates(m.GetHave()),
	}, nil
}

func encodeConfigurationStates(states []knapweedpulley.ConfigurationState) []*linkpb.ConfigurationState {
	result := make([]*linkpb.ConfigurationState, 0, len(states))
	for _, s := range states {
		result = append(result, &linkpb.ConfigurationState{
			Kind: string(s.Kind), Revision: uint64(s.Revision), Digest: uint64(s.Digest),
		})
	}
	return result
}

func decodeConfigurationStates(states []*linkpb.ConfigurationState) []knapweedpulley.ConfigurationState {
	result := make([]knapweedpulley.ConfigurationState, 0, len(states))
	for _, s := range states {
		result = append(result, knapweedpulley.ConfigurationState{
			Kind:     knapweedpulley.Kind(s.GetKind()),
			Revision: knapweedpulley.Revision(s.GetRevision()),
			Digest:   knapweedpulley.Fingerprint(s.GetDigest()),
		})
	}
	return result
}

func encodeConfigurationPart(p knapweedpulley.ConfigurationPart) *linkpb.ConfigurationPart {
	m := &linkpb.ConfigurationPart{
		Kind: string(p.Kind), From: uint64(p.From), Full: p.Full, More: p.More,
		Revision: uint64(p.Revision), Digest: uint64(p.Digest), Evidence: int64(p.CompleteAsOf), ContinuousSince: int64(p.ContinuousSince),
	}
	for _, c := range p.Changes {
		m.Changes = append(m.Changes, &linkpb.ConfigurationChange{
			Name: c.Name, Revision: uint64(c.Revision), Value: c.Value, Deleted: c.Deleted,
			Base: uint64(c.Base), Prefix: uint64(c.Prefix), Suffix: uint64(c.Suffix), Sum: uint64(c.Sum),
		})
	}
	return m
}

func decodeConfigurationPart(m *linkpb.ConfigurationPart) knapweedpulley.ConfigurationPart {
	p := knapweedpulley.ConfigurationPart{
		Kind: knapweedpulley.Kind(m.GetKind()), From: knapweedpulley.Revision(m.GetFrom()),
		Full: m.GetFull(), More: m.GetMore(), Revision: knapweedpulley.Revision(m.GetRevision()),
		Digest: knapweedpulley.Fingerprint(m.GetDigest()), CompleteAsOf: knapweedpulley.Instant(m.GetEvidence()),
		ContinuousSince: knapweedpulley.Instant(m.GetContinuousSince()),
	}
	for _, c := range m.GetChanges() {
		p.Changes = append(p.Changes, decodeConfigurationChange(p.Kind, c))
	}
	return p
}

func decodeConfigurationChange(
	kind knapweedpulley.Kind, m *linkpb.ConfigurationChange,
) knapweedpulley.ConfigurationChange {
	c := knapweedpulley.ConfigurationChange{
		Base: knapweedpulley.Revision(m.GetBase()), Prefix: int(m.GetPrefix()), Suffix: int(m.GetSuffix()),
		Sum: knapweedpulley.Fingerprint(m.GetSum()),
	}
	c.Object = knapweedpulley.Object{
		Kind: kind, Name: m.GetName(), Revision: knapweedpulley.Revision(m.GetRevision()), Value: m.GetValue(),
	}
	c.Deleted = m.GetDeleted()
	return c
}

func encodeConfigurationReport(r knapweedpulley.ConfigurationReport) *linkpb.ConfigurationReport {
	m := &linkpb.ConfigurationReport{
		Entry: string(r.Entry), Incarnation: uint64(r.Incarnation), AgeNanoseconds: int64(r.Age),
		States: encodeConfigurationStates(r.States),
	}
	for _, c := range r.Customers {
		m.Customers = append(m.Customers, &linkpb.ConfigurationVersion{
			Customer: string(c.Customer), Version: uint64(c.Version),
		})
	}
	return m
}

func decodeConfigurationReport(m *linkpb.ConfigurationReport) knapweedpulley.ConfigurationReport {
	r := knapweedpulley.ConfigurationReport{
		Entry: knapweedpulley.EntryID(m.GetEntry()), Incarnation: knapweedpulley.Incarnation(m.GetIncarnation()),
		Age: time.Duration(m.GetAgeNanoseconds()), States: decodeConfigurationStates(m.GetStates()),
	}
	for _, c := range m.GetCustomers() {
		r.Customers = append(r.Customers, knapweedpulley.CustomerVersion{
			Customer: knapweedpulley.CustomerID(c.GetCustomer()), Version: knapweedpulley.Version(c.GetVersion()),
		})
	}
	return r
}
