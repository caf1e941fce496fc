package endpoint

import (
	"hash/maphash"
	"maps"
	"sync/atomic"

	"github.com/knapweedpulley/knapweedpulley"
)

// shards is the number of parts of an index. They are copied independently, so
// that a change copies only a small part of the index.
const shards = 512

// index maps capabilities to candidates. It is read-copy-update: one writer at a
// time replaces the shard that it changes by a copy, and readers take no lock.
type index struct {
	seed   maphash.Seed
	shards [shards]atomic.Pointer[map[capability]*candidates]
}

func newIndex() *index {
	return &index{seed: maphash.MakeSeed()}
}

func (x *index) shard(key capability) *atomic.Pointer[map[capability]*candidates] {
	return &x.shards[maphash.Comparable(x.seed, key)%shards]
}

// find returns the endpoints that offer a capability, or nil.
func (x *index) find(key capability) *candidates {
	m := x.shard(key).Load()
	if m == nil {
		return nil
	}
	return (*m)[key]
}

// put replaces the candidates for a capability; nil removes them.
func (x *index) put(key capability, set *candidates) {
	shard := x.shard(key)
	next := make(map[capability]*candidates)
	if m := shard.Load(); m != nil {
		next = maps.Clone(*m)
	}
	if set == nil {
		delete(next, key)
	} else {
		next[key] = set
	}
	shard.Store(&next)
}

// nodes maps ids to endpoints. It is read-copy-update in the same way as index.
type nodes struct {
	seed   maphash.Seed
	shards [shards]atomic.Pointer[map[knapweedpulley.EndpointID]*node]
}

func newNodes() *nodes {
	return &nodes{seed: maphash.MakeSeed()}
}

func (x *nodes) shard(id knapweedpulley.EndpointID) *atomic.Pointer[map[knapweedpulley.EndpointID]*node] {
	return &x.shards[maphash.Comparable(x.seed, id)%shards]
}

// find returns the endpoint with the given id, or nil.
func (x *nodes) find(id knapweedpulley.EndpointID) *node {
	m := x.shard(id).Load()
	if m == nil {
		return nil
	}
	return (*m)[id]
}

// put replaces the endpoint with the given id; nil removes it.
func (x *nodes) put(id knapweedpulley.EndpointID, n *node) {
	shard := x.shard(id)
	next := make(map[knapweedpulley.EndpointID]*node)
	if m := shard.Load(); m != nil {
		next = maps.Clone(*m)
	}
	if n == nil {
		delete(next, id)
	} else {
		next[id] = n
	}
	shard.Store(&next)
}

// each calls visit for all endpoints.
func (x *nodes) each(visit func(n *node)) {
	for i := range x.shards {
		m := x.shards[i].Load()
		if m == nil {
			continue
		}
		for _, n := range *m {
			visit(n)
		}
	}
}
