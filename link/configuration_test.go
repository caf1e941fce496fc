package link

import (
	"testing"

	"github.com/matryer/is"
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
			Kind: k, From: revision, Revision: revision, Digest: revision, CompleteAsOf: instant, ContinuousSince: instant,
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

func TestConfigurationPart(t *testing.T) {
	t.Run("a part survives its encoding", func(t *testing.T) {
		c := knapweedpulley.ConfigurationChange{Base: 3, Prefix: 1, Suffix: 2, Sum: 9}
		c.Object = knapweedpulley.Object{Kind: knapweedpulley.KindEndpoints, Name: "i-1", Revision: 5, Value: []byte("x")}
		p := knapweedpulley.ConfigurationPart{
			Kind: knapweedpulley.KindEndpoints, From: 4, Full: true, More: true, Revision: 6, Digest: 7,
			Changes: []knapweedpulley.ConfigurationChange{c}, CompleteAsOf: 8, ContinuousSince: 2,
		}
		is.New(t).Equal(decodeConfigurationPart(encodeConfigurationPart(p)), p)
	})
}
