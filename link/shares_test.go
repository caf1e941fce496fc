package link

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpulley/knapweedpulley"
)

func TestMemberMessages(t *testing.T) {
	self := knapweedpulley.MemberID{Entry: "entry-1", Incarnation: 7}
	other := knapweedpulley.MemberID{Entry: "entry-2", Incarnation: 9}
	epoch := knapweedpulley.Epoch{Number: 3, By: other, View: 11}
	grants := []knapweedpulley.Grant{{Number: 2, Customer: "iturralde", Portion: 5, Level: 1.5}}
	t.Run("a decoded share message equals the encoded one", func(t *testing.T) {
		m := knapweedpulley.ShareMessage{
			From: self, To: other, Epoch: epoch, Taken: 4, Grants: grants, Counting: true, Departing: true, Tick: true,
			Demands: []knapweedpulley.ShareDemand{{Customer: "iturralde", Held: 8, Level: 2.5, Rate: 10}},
			Pulls:   []knapweedpulley.SharePull{{Customer: "iturralde", Tokens: 12, Extra: 3}},
			Report: knapweedpulley.Some(knapweedpulley.ShareReport{
				Epoch: epoch, View: 12,
				Held:  []knapweedpulley.HeldShare{{Customer: "iturralde", Portion: 6}},
				Sent:  []knapweedpulley.SentGrants{{To: other, Grants: grants}},
				Taken: []knapweedpulley.TakenGrants{{From: other, Number: 3}},
			}),
		}
		is.New(t).Equal(decodeShares(encodeShares(m)), m)
	})
	t.Run("a decoded heartbeat equals the encoded one", func(t *testing.T) {
		h := knapweedpulley.Heartbeat{
			From: self, View: 5, Age: 6, InForce: true, Digest: 8,
			Evicted: []knapweedpulley.MemberID{other}, Silent: []knapweedpulley.MemberID{self},
		}
		is.New(t).Equal(decodeHeartbeat(encodeHeartbeat(h)), h)
	})
}

// BenchmarkShareMessage measures the encoding of the share message of one period, and
// reports its size.
func BenchmarkShareMessage(b *testing.B) {
	for _, customers := range []int{0, 5, 50, 500} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			id := knapweedpulley.MemberID{Entry: "entry-0001", Incarnation: 1 << 60}
			m := knapweedpulley.ShareMessage{From: id, To: id, Epoch: knapweedpulley.Epoch{Number: 9, By: id, View: 1 << 20}}
			for i := range customers {
				m.Demands = append(m.Demands, knapweedpulley.ShareDemand{
					Customer: knapweedpulley.CustomerID(fmt.Sprintf("customer-%04d", i)),
					Held:     knapweedpulley.WholePortion / 3, Level: 1234.5, Rate: 987.6,
				})
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				size = proto.Size(encodeShares(m))
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

// BenchmarkHeartbeatMessage measures the encoding of a heartbeat, and reports its size.
func BenchmarkHeartbeatMessage(b *testing.B) {
	h := knapweedpulley.Heartbeat{
		From: knapweedpulley.MemberID{Entry: "entry-0001", Incarnation: 1 << 60},
		View: 1 << 20, Age: 100_000_000, InForce: true, Digest: 1 << 62,
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		size = proto.Size(encodeHeartbeat(h))
	}
	b.ReportMetric(float64(size), "B/message")
}
