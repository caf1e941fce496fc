// Package intake decides how much of a process's memory and descriptors its clients may hold. It responds
// to clients that aren't trusted: many large bodies at once, bodies that stop short of their end,
// connections that send nothing or read nothing.
//
// A [Budget] bounds the memory for request bodies and heads. Each request reserves its part before its
// bytes are read. Small requests use a part of the budget that is counted by an atomic; large ones wait
// in a bounded queue when none is free. No owner holds more than half of what is for large requests.
// While requests wait, the oldest of those that make no progress is dropped. A [Pace] is the slowest
// progress that a transfer may make. [Limits] are derived from the memory and the descriptors of the
// machine. The package knows neither HTTP nor the network.
//
// # Usage
//
//	h := budget.NewHold()
//	defer h.Release()
//	if !h.ReserveSmall(size) {
//		if err := h.Reserve(ctx, size, owner, interrupt); err != nil {
//			return err // a *knapweedpulley.Refusal
//		}
//	}
package intake
