package ratequeue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/ratequeue"
)

// BenchmarkDecision measures the decisions for one call that waits: whether it is its turn, whether it can wait, and
// when the next decision is due.
func BenchmarkDecision(b *testing.B) {
	for _, length := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("%d requests wait", length), func(b *testing.B) {
			q, now := ratequeue.New(), knapweedpulley.Instant(time.Hour)
			supply := ratequeue.Supply{Rate: 1e4, Burst: 1e6, Level: -1, Parts: 2}
			request := func(n int) ratequeue.Request {
				return ratequeue.Request{
					Route: knapweedpulley.RouteID([]string{"urgent", "usual", "patient"}[n%3]), Priority: n % 3, Tokens: 1000,
					LatestStart: now.Add(time.Hour + time.Duration(n)), Fingerprint: knapweedpulley.Fingerprint(n + 1),
				}
			}
			for n := range length {
				q.Probe(now, &supply, request(n))
				q.Enter(now, &supply, request(n))
			}
			if waiting, _ := q.Waiting(); waiting != length {
				b.Fatalf("%d of %d requests wait", waiting, length)
			}
			for n := 0; !q.Scarce(); n++ {
				now = now.Add(1)
				q.Probe(now, &supply, request(n))
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(1)
				supply.Level = -1
				// The request goes before those that wait, all of which are checked then.
				r := request(n)
				r.LatestStart = now.Add(30 * time.Minute)
				q.Probe(now, &supply, r)
				ticket := q.Enter(now, &supply, r)
				q.Next(now, &supply)
				q.Leave(ticket)
				q.Outcomes()
			}
		})
	}
}
