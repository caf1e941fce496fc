package gateway_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/gateway"
)

func assertSpends(t *testing.T, b *gateway.Budget, want int) {
	t.Helper()
	n := 0
	for b.Spend("llm") {
		n++
	}
	is.New(t).Equal(n, want)
}

func TestBudget(t *testing.T) {
	t.Run("four gateways together stay within the operator's slack", func(t *testing.T) {
		const slack, gateways = 50.0, 4
		n := 0
		for range gateways {
			b := gateway.NewBudget(slack, gateways)
			for b.Spend("llm") {
				n++
			}
		}
		is.New(t).True(n > 0 && float64(n) <= slack)
	})
	t.Run("requests earn a part of what the operator allows for them", func(t *testing.T) {
		b := gateway.NewBudget(50, 4)
		for b.Spend("llm") {
			// Use up the reserve.
		}
		const requests = 30
		for range requests {
			b.Earn("llm")
		}
		n := 0
		for b.Spend("llm") {
			n++
		}
		is.New(t).True(n > 0 && float64(n) <= 0.2*requests)
	})
	t.Run("services have budgets of their own", func(t *testing.T) {
		b := gateway.NewBudget(50, 4)
		for b.Spend("llm") {
			// Use up the reserve.
		}
		is.New(t).True(b.Spend("plain"))
		assertSpends(t, b, 0)
	})
}
