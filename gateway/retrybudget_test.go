package gateway_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpulley/knapweedpulley/gateway"
)

func assertWithdrawals(t *testing.T, b *gateway.RetryBudget, want int) {
	t.Helper()
	n := 0
	for b.TryWithdraw("llm") {
		n++
	}
	is.New(t).Equal(n, want)
}

func TestRetryBudget(t *testing.T) {
	t.Run("the balances of four gateways together stay within the operator's slack", func(t *testing.T) {
		const slack, gateways = 50.0, 4
		n := 0
		for range gateways {
			b := gateway.NewRetryBudget(slack, gateways)
			for b.TryWithdraw("llm") {
				n++
			}
		}
		is.New(t).True(n > 0 && float64(n) <= slack)
	})
	t.Run("deposits allow at most the operator's ratio of retries", func(t *testing.T) {
		b := gateway.NewRetryBudget(50, 4)
		for b.TryWithdraw("llm") {
			// Use up the initial balance.
		}
		const requests = 30
		for range requests {
			b.Deposit("llm")
		}
		n := 0
		for b.TryWithdraw("llm") {
			n++
		}
		is.New(t).True(n > 0 && float64(n) <= 0.2*requests)
	})
	t.Run("a service with a used-up balance leaves that of another service untouched", func(t *testing.T) {
		b := gateway.NewRetryBudget(50, 4)
		for b.TryWithdraw("llm") {
			// Use up the initial balance.
		}
		is.New(t).True(b.TryWithdraw("plain"))
		assertWithdrawals(t, b, 0)
	})
	t.Run("parts that others have taken over and that are still used stay within the operator's slack", func(t *testing.T) {
		const slack = 50.0
		for _, gateways := range []int{4, 16, fleetSize} {
			n := 0
			for i := range gateways {
				b := gateway.NewRetryBudget(slack, gateways)
				if i == 0 {
					// The others are cut off.
					b.SetGatewayCount(1)
				}
				for b.TryWithdraw("llm") {
					n++
				}
			}
			is.New(t).True(n > 0 && float64(n) <= slack)
		}
	})
	t.Run("a gateway of a large fleet can retry once it has served enough requests", func(t *testing.T) {
		const slack, gateways, requests = 246, 103, 1000
		b := gateway.NewRetryBudget(slack, gateways)
		for range requests {
			b.Deposit("llm")
		}
		is.New(t).True(b.TryWithdraw("llm"))
	})
}
