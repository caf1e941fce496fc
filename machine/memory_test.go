package machine_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/machine"
)

const total = 100 * knapweedpulley.MiB

var advice = machine.Occupant{Model: "advice"}

func assertFree(t *testing.T, m *machine.MemoryLedger, want knapweedpulley.Bytes) {
	t.Helper()
	is.New(t).Equal(m.Free(), want)
}

// observe applies a reading that begins now.
func observe(m *machine.MemoryLedger, seen ...machine.Occupancy) {
	m.Observe(m.BeginReading(), total, seen)
}

func TestMemory(t *testing.T) {
	t.Run("a reservation that exceeds the free memory fails", func(t *testing.T) {
		is := is.New(t)
		m := machine.NewMemoryLedger(total)
		is.True(m.Reserve(advice, 60*knapweedpulley.MiB))
		is.True(!m.Reserve(machine.Occupant{Model: "other"}, 60*knapweedpulley.MiB))
		assertFree(t, m, 40*knapweedpulley.MiB)
	})
	t.Run("a load that no reading shows yet keeps its reservation", func(t *testing.T) {
		m := machine.NewMemoryLedger(total)
		m.Reserve(advice, 60*knapweedpulley.MiB)
		observe(m)
		assertFree(t, m, 40*knapweedpulley.MiB)
	})
	t.Run("a reading that began before the end of an order frees nothing", func(t *testing.T) {
		m := machine.NewMemoryLedger(total)
		m.Reserve(advice, 60*knapweedpulley.MiB)
		began := m.BeginReading()
		m.Settle(advice)
		m.Observe(began, total, nil)
		assertFree(t, m, 40*knapweedpulley.MiB)
		observe(m)
		assertFree(t, m, total)
	})
	t.Run("an occupant that was not ordered takes memory as well", func(t *testing.T) {
		m := machine.NewMemoryLedger(total)
		observe(m, machine.Occupancy{Occupant: advice, Size: 70 * knapweedpulley.MiB})
		assertFree(t, m, 30*knapweedpulley.MiB)
	})
}

func TestPause(t *testing.T) {
	t.Run("it lasts for the given duration", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			is.New(t).NoErr(machine.Pause(t.Context(), time.Minute))
			is.New(t).Equal(time.Since(start), time.Minute)
		})
	})
	t.Run("it returns the error of a context that has ended", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.New(t).Equal(machine.Pause(ctx, time.Minute), context.Canceled)
	})
}
