package gateway_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDeadlyPartBehindManyOthersIsRefused(t *testing.T) {
	inBubble("calls with the part stop reaching endpoints", t, func(t *testing.T) {
		d, x := deadlyDeployment(scriptedAnswer{broken: true})
		calls := &promptCalls{gateway: d.newGateway(t)}
		var others []string
		for i := range 200 {
			others = append(others, strconv.Itoa(i))
		}
		for range 20 {
			_ = calls.serve(t, append(slices.Clone(others), deadlyPart)...)
			is.New(t).NoErr(calls.serve(t, others...))
			time.Sleep(time.Second)
		}
		is.New(t).True(x.arrived <= 8)
	})
}
