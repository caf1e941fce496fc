package exchange

import (
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// maxKept bounds the memory that the answers of a pool take beyond what each may use freely.
	// The smallest machines have 184 MB.
	maxKept = 24 * knapweedpulley.MiB
	// freeHead and freeBody are the bytes of each answer that don't count.
	freeHead = 6 * knapweedpulley.KiB
	freeBody = 16 * knapweedpulley.KiB
	// headWeight and bodyWeight are the bytes of memory that a byte takes: short fields of a head
	// are kept as strings, in lists, in a map and its copy, and the buffer of a body grows.
	headWeight = 32
	bodyWeight = 2
)

// budget bounds the memory that is taken for answers at once.
type budget struct {
	taken atomic.Int64
}

// take takes n bytes, or gives them back if n is negative. It reports whether there were enough.
func (b *budget) take(n knapweedpulley.Bytes) bool {
	if b.taken.Add(int64(n)) <= int64(maxKept) || n <= 0 {
		return true
	}
	b.taken.Add(-int64(n))
	return false
}

// share is what one answer takes of a budget.
type share struct {
	budget *budget
	taken  knapweedpulley.Bytes
}

// resize makes the share n bytes large and reports whether the budget allows it.
func (s *share) resize(n knapweedpulley.Bytes) bool {
	if n == s.taken {
		return true
	}
	if !s.budget.take(n - s.taken) {
		return false
	}
	s.taken = n
	return true
}
