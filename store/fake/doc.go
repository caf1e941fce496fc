// Package fake is an in-memory object store for tests. It simulates outages,
// latency, lost answers to writes and writes that take effect late.
//
// # Usage
//
//	objects := fake.New()
//	objects.LoseAnswers(1)
//	_, err := objects.Put(ctx, kind, name, value, 0) // takes effect
//	errors.Is(err, knapweedpulley.ErrOutcomeUnknown) // true
package fake
