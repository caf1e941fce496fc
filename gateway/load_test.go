package gateway_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedpulley/knapweedpulley"
)

// lateKeeper is a link to the keeper of endpoint 2, whose engine holds model m from loadedAt on. No
// other keeper can be reached.
type lateKeeper struct {
	ctx      context.Context
	loadedAt time.Time
}

func (k lateKeeper) OpenStream(ctx context.Context, address string) (knapweedpulley.KeeperStream, error) {
	if !strings.HasPrefix(address, "10.0.0.2:") {
		return nil, errors.New("no keeper")
	}
	k.ctx = ctx
	return k, nil
}

func (k lateKeeper) Send(knapweedpulley.GatewayMessage) error {
	return k.ctx.Err()
}

func (k lateKeeper) Receive() (knapweedpulley.EngineReport, error) {
	select {
	case <-k.ctx.Done():
		return knapweedpulley.EngineReport{}, k.ctx.Err()
	case <-time.After(50 * time.Millisecond):
	}
	r := knapweedpulley.EngineReport{Start: 1, Lifetime: time.Second, Free: 100}
	if left := time.Until(k.loadedAt); left > 0 {
		r.Loading = []knapweedpulley.LoadInProgress{{Resident: knapweedpulley.Resident{Model: "m"}, Remaining: left}}
	} else {
		r.Models = []knapweedpulley.LoadedModel{{Model: "m", State: knapweedpulley.StateLoaded}}
	}
	return r, nil
}

func TestBegunStreamWaitsForItsModel(t *testing.T) {
	inBubble("as long as the caller waits for the next event", t, func(t *testing.T) {
		d, _ := streamDeployment(
			scriptedAnswer{silence: 900 * time.Millisecond, silentAfter: 1, events: []string{"1", "2"}, broken: true},
			scriptedAnswer{events: []string{"3"}})
		d.service.Engine = knapweedpulley.Some(knapweedpulley.EngineSpec{
			Memory: 100, Models: map[knapweedpulley.ModelID]knapweedpulley.ModelSpec{
				"m": {Model: "m", Size: 50, RemoteLoadTime: 400 * time.Millisecond},
			},
		})
		d.holder, d.crashing, d.route.EventTimeout = "1", true, time.Second
		d.keepers = lateKeeper{loadedAt: time.Now().Add(1200 * time.Millisecond)}
		answer, err := d.serve(t, func(c *knapweedpulley.Call) {
			c.Model = knapweedpulley.Some[knapweedpulley.ModelID]("m")
		})
		assertAnswered(t, answer, err, "1 2 3 ")
	})
}
