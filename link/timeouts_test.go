package link

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestTimeoutCounter(t *testing.T) {
	const address = "10.0.0.1:1"
	bubble := func(name string, test func(is *is.I)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { test(is.New(t)) }) })
	}
	bubble("a connection is replaced at the third timeout in a row", func(is *is.I) {
		c := newTimeoutCounter(0)
		is.True(!c.record(address, true))
		is.True(!c.record(address, true))
		is.True(c.record(address, true))
		is.True(!c.record(address, true))
	})
	bubble("an answer restarts the row", func(is *is.I) {
		c := newTimeoutCounter(0)
		is.True(!c.record(address, true))
		is.True(!c.record(address, true))
		is.True(!c.record(address, false))
		is.True(!c.record(address, true))
		is.True(!c.record(address, true))
	})
	bubble("concurrent calls that time out in a short silence replace no connection", func(is *is.I) {
		c := newTimeoutCounter(minLenderSilence)
		for range 10 {
			is.True(!c.record(address, true))
		}
		time.Sleep(1300 * time.Millisecond)
		is.True(!c.record(address, true))
	})
	bubble("a connection on which calls keep timing out is replaced", func(is *is.I) {
		c := newTimeoutCounter(minLenderSilence)
		is.True(!c.record(address, true))
		is.True(!c.record(address, true))
		time.Sleep(minLenderSilence)
		is.True(c.record(address, true))
	})
}
