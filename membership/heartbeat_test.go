package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
)

// slowLink answers after half of the heartbeat timeout.
type slowLink struct{}

func (slowLink) Heartbeat(
	_ context.Context, to knapweedpulley.Member, _ knapweedpulley.Heartbeat,
) (knapweedpulley.Heartbeat, error) {
	time.Sleep(heartbeatTimeout / 2)
	return knapweedpulley.Heartbeat{From: to.ID()}, nil
}

type testClock struct{}

func (testClock) Now() knapweedpulley.Instant {
	return knapweedpulley.Instant(time.Now().UnixNano())
}

func TestSendHeartbeat(t *testing.T) {
	t.Run("the time of an answer is when its request was sent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			other := newMembers("b")[0]
			m := &Members{
				Options:  Options{Clock: testClock{}, Link: slowLink{}},
				answers:  make(map[knapweedpulley.MemberID]answer),
				contacts: map[knapweedpulley.MemberID]*contact{other.ID(): {}},
			}
			sent := m.Clock.Now()
			m.sendHeartbeat(t.Context(), other, knapweedpulley.Heartbeat{})
			is.New(t).Equal(m.answers[other.ID()].sent, sent)
			is.New(t).Equal(m.contacts[other.ID()].lastHeard, sent)
		})
	})
}
