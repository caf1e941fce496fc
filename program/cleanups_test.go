package program

import (
	"testing"

	"github.com/matryer/is"
)

func TestCleanups(t *testing.T) {
	t.Run("clean-ups run in reverse order", func(t *testing.T) {
		var order []int
		var c Cleanups
		c.Add(func() { order = append(order, 1) }, func() { order = append(order, 2) })
		c.Add(func() { order = append(order, 3) })
		c.Run()
		is.New(t).Equal(order, []int{3, 2, 1})
	})
}
