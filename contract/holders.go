package contract

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// minPart is the burst that each part of a contract has at least, if there are more gateways
	// than that leaves room for. It is several requests of a common size, so that requests rarely
	// need tokens of more than one part.
	minPart = 6000
	// minHolders is the number of holders of even the smallest contract, so that one of them may
	// fail.
	minHolders = 2
)

// Holders returns the gateways that hold the parts of a contract. These are all gateways as long as
// each part is worth several requests. In a large fleet an equal part of a small contract would be
// less than a single request: the customer would be refused wherever its callers happen to be
// connected, although most of its rate lies unused at other gateways. Then only some gateways hold
// a part, and the others borrow what each request needs. Gateways that know the same members agree
// on the holders by rendezvous hashing.
func Holders(c knapweedpulley.Contract, members []knapweedpulley.Member) []knapweedpulley.Member {
	return ranked(c, members, max(minHolders, int(c.Burst/minPart)))
}

// QueueHolders returns the gateways that hold the parts of a contract whose calls queue for its tokens. They
// are as few as possible, because each queue orders only the calls that ask it.
func QueueHolders(c knapweedpulley.Contract, members []knapweedpulley.Member) []knapweedpulley.Member {
	return ranked(c, members, minHolders)
}

// ranked returns the first n members by rendezvous hashing, or all if there are no more.
func ranked(c knapweedpulley.Contract, members []knapweedpulley.Member, n int) []knapweedpulley.Member {
	if n >= len(members) {
		return members
	}
	rank := func(m knapweedpulley.Member) uint64 {
		return xxhash.Sum64String(string(c.Customer) + "\x00" + string(m.Entry))
	}
	list := slices.SortedFunc(slices.Values(members), func(a, b knapweedpulley.Member) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Entry, b.Entry))
	})
	return list[:n]
}
