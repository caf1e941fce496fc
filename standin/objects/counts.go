package objects

import (
	"cmp"
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

// Call is an operation of the object API.
type Call string

// Operations of the object API.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallPut    Call = "put"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
)

// Count is the number of calls of one operation on one kind of object.
type Count struct {
	Kind  knapweedpulley.Kind `json:"kind"`
	Call  Call                `json:"call"`
	Calls int                 `json:"calls"`
}

// Counts is the response body of GET /counts.
type Counts struct {
	Total  int     `json:"total"`
	Counts []Count `json:"counts"`
}

type callKey struct {
	kind knapweedpulley.Kind
	call Call
}

// callCounter counts calls by kind and operation. It is not safe for concurrent use.
type callCounter struct {
	calls map[callKey]int
}

func newCallCounter() callCounter {
	return callCounter{calls: make(map[callKey]int)}
}

func (c callCounter) add(kind knapweedpulley.Kind, call Call) {
	c.calls[callKey{kind: kind, call: call}]++
}

func (c callCounter) counts() Counts {
	result := Counts{Counts: make([]Count, 0, len(c.calls))}
	for k, n := range c.calls {
		result.Counts = append(result.Counts, Count{Kind: k.kind, Call: k.call, Calls: n})
		result.Total += n
	}
	slices.SortFunc(result.Counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Call, b.Call))
	})
	return result
}
