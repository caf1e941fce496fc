package link

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// ShareSender implements knapweedpulley.ShareLink over gRPC.
type ShareSender struct {
	connections *Connections
}

// NewShareSender returns a sender that uses the given connections.
func NewShareSender(connections *Connections) *ShareSender {
	return &ShareSender{connections: connections}
}

// Exchange implements knapweedpulley.ShareLink.
func (s *ShareSender) Exchange(
	ctx context.Context, to knapweedpulley.Member, m knapweedpulley.ShareMessage,
) (knapweedpulley.ShareMessage, error) {
	conn, err := s.connections.To(to.Address)
	if err != nil {
		return knapweedpulley.ShareMessage{}, err
	}
	answer, err := linkpb.NewShareServiceClient(conn).Exchange(ctx, encodeShares(m))
	if err != nil {
		return knapweedpulley.ShareMessage{}, errors.Wrapf(err, "exchange shares with %s", to.Entry)
	}
	return decodeShares(answer), nil
}

// shareServer answers the share messages of other entry processes.
type shareServer struct {
	linkpb.UnimplementedShareServiceServer
	service knapweedpulley.ShareService
}

// RegisterShares registers the service that passes the share messages of other entry
// processes to service.
func RegisterShares(r grpc.ServiceRegistrar, service knapweedpulley.ShareService) {
	linkpb.RegisterShareServiceServer(r, &shareServer{service: service})
}

// Exchange implements linkpb.ShareServiceServer.
func (s *shareServer) Exchange(_ context.Context, m *linkpb.ShareEnvelope) (*linkpb.ShareEnvelope, error) {
	return encodeShares(s.service.HandleShares(decodeShares(m))), nil
}

func encodeShares(m knapweedpulley.ShareMessage) *linkpb.ShareEnvelope {
	e := &linkpb.ShareEnvelope{
		From:      encodeMember(m.From),
		To:        encodeMember(m.To),
		Epoch:     encodeEpoch(m.Epoch),
		Taken:     m.Taken,
		Grants:    encodeGrants(m.Grants),
		Departing: m.Departing,
		Tick:      m.Tick,
		Counting:  m.Counting,
	}
	for _, d := range m.Demands {
		e.Demands = append(e.Demands, &linkpb.ShareDemand{
			Customer: string(d.Customer), Held: uint64(d.Held), Level: d.Level, Rate: float64(d.Rate),
		})
	}
	for _, p := range m.Pulls {
		e.Pulls = append(e.Pulls, &linkpb.SharePull{Customer: string(p.Customer), Tokens: p.Tokens, Extra: p.Extra})
	}
	if r, ok := m.Report.Get(); ok {
		e.Report = encodeReport(r)
	}
	return e
}

func decodeShares(e *linkpb.ShareEnvelope) knapweedpulley.ShareMessage {
	m := knapweedpulley.ShareMessage{
		From:      decodeMember(e.GetFrom()),
		To:        decodeMember(e.GetTo()),
		Epoch:     decodeEpoch(e.GetEpoch()),
		Taken:     e.GetTaken(),
		Grants:    decodeGrants(e.GetGrants()),
		Departing: e.GetDeparting(),
		Tick:      e.GetTick(),
		Counting:  e.GetCounting(),
	}
	for _, d := range e.GetDemands() {
		m.Demands = append(m.Demands, knapweedpulley.ShareDemand{
			Customer: knapweedpulley.CustomerID(d.GetCustomer()),
			Held:     knapweedpulley.Portion(d.GetHeld()),
			Level:    d.GetLevel(),
			Rate:     knapweedpulley.TokensPerSecond(d.GetRate()),
		})
	}
	for _, p := range e.GetPulls() {
		m.Pulls = append(m.Pulls, knapweedpulley.SharePull{
			Customer: knapweedpulley.CustomerID(p.GetCustomer()), Tokens: p.GetTokens(), Extra: p.GetExtra(),
		})
	}
	if r := e.GetReport(); r != nil {
		m.Report = knapweedpulley.Some(decodeReport(r))
	}
	return m
}

func encodeReport(r knapweedpulley.ShareReport) *linkpb.ShareReport {
	m := &linkpb.ShareReport{Epoch: encodeEpoch(r.Epoch), View: uint64(r.View)}
	for _, h := range r.Held {
		m.Held = append(m.Held, &linkpb.HeldShare{Customer: string(h.Customer), Portion: uint64(h.Portion)})
	}
	for _, s := range r.Sent {
		m.Sent = append(m.Sent, &linkpb.SentGrants{To: encodeMember(s.To), Grants: encodeGrants(s.Grants)})
	}
	for _, t := range r.Taken {
		m.Taken = append(m.Taken, &linkpb.TakenGrants{From: encodeMember(t.From), Number: t.Number})
	}
	return m
}

func decodeReport(m *linkpb.ShareReport) knapweedpulley.ShareReport {
	r := knapweedpulley.ShareReport{Epoch: decodeEpoch(m.GetEpoch()), View: knapweedpulley.Revision(m.GetView())}
	for _, h := range m.GetHeld() {
		r.Held = append(r.Held, knapweedpulley.HeldShare{
			Customer: knapweedpulley.CustomerID(h.GetCustomer()), Portion: knapweedpulley.Portion(h.GetPortion()),
		})
	}
	for _, s := range m.GetSent() {
		r.Sent = append(r.Sent, knapweedpulley.SentGrants{To: decodeMember(s.GetTo()), Grants: decodeGrants(s.GetGrants())})
	}
	for _, t := range m.GetTaken() {
		r.Taken = append(r.Taken, knapweedpulley.TakenGrants{From: decodeMember(t.GetFrom()), Number: t.GetNumber()})
	}
	return r
}

func encodeEpoch(e knapweedpulley.Epoch) *linkpb.ShareEpoch {
	return &linkpb.ShareEpoch{Number: e.Number, By: encodeMember(e.By), View: uint64(e.View)}
}

func decodeEpoch(m *linkpb.ShareEpoch) knapweedpulley.Epoch {
	return knapweedpulley.Epoch{
		Number: m.GetNumber(), By: decodeMember(m.GetBy()), View: knapweedpulley.Revision(m.GetView()),
	}
}

func encodeGrants(grants []knapweedpulley.Grant) []*linkpb.ShareGrant {
	var list []*linkpb.ShareGrant
	for _, g := range grants {
		list = append(list, &linkpb.ShareGrant{
			Number: g.Number, Customer: string(g.Customer), Portion: uint64(g.Portion), Level: g.Level,
		})
	}
	return list
}

func decodeGrants(grants []*linkpb.ShareGrant) []knapweedpulley.Grant {
	var list []knapweedpulley.Grant
	for _, g := range grants {
		list = append(list, knapweedpulley.Grant{
			Number:   g.GetNumber(),
			Customer: knapweedpulley.CustomerID(g.GetCustomer()),
			Portion:  knapweedpulley.Portion(g.GetPortion()),
			Level:    g.GetLevel(),
		})
	}
	return list
}
