package link

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/link/linkpb"
)

// BenchmarkConfigurationHeartbeat reports the size of the messages that a
// subscriber exchanges when the configuration doesn't change.
func BenchmarkConfigurationHeartbeat(b *testing.B) {
	const revision, instant = 1 << 40, 1 << 60
	ping := &linkpb.ConfigurationPing{Sent: instant, Seen: revision}
	update := &linkpb.ConfigurationUpdate{Echo: instant, EchoAt: instant}
	for _, k := range []knapweedpulley.Kind{
		knapweedpulley.KindCustomers, knapweedpulley.KindPermits, knapweedpulley.KindEntries,
	} {
		ping.Have = append(ping.Have, encodeConfigurationStates([]knapweedpulley.ConfigurationState{
			{Kind: k, Revision: revision, Digest: revision},
		})...)
		update.Parts = append(update.Parts, encodeConfigurationPart(knapweedpulley.ConfigurationPart{
			Kind: k, From: revision, Revision: revision, Digest: revision, CompleteAsOf: instant,
		}))
	}
	for range b.N {
		if _, err := proto.Marshal(update); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(ping)), "ping-bytes")
	b.ReportMetric(float64(proto.Size(update)), "update-bytes")
}
