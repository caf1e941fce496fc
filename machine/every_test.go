package machine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/machine"
)

func TestEvery(t *testing.T) {
	t.Run("f is called once per period until the clean-up", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			calls := 0
			stop := machine.Every(time.Second, func() { calls++ })
			time.Sleep(3500 * time.Millisecond)
			stop()
			is.Equal(calls, 3)
			time.Sleep(time.Minute)
			is.Equal(calls, 3)
		})
	})
}
