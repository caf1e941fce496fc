package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
)

// snapshot is an immutable view of the registered processes, prepared for look-ups.
type snapshot struct {
	view   knapweedpulley.EntryView
	active []knapweedpulley.Member
	// hashes holds the hash of each active member's id, in the order of active.
	hashes []uint64
	// selfActive is set if the view lists this process as active.
	selfActive bool
}

func newSnapshot(view knapweedpulley.EntryView, self knapweedpulley.MemberID) *snapshot {
	s := &snapshot{view: view}
	for _, e := range view.Entries {
		if e.State != knapweedpulley.EntryActive {
			continue
		}
		s.active = append(s.active, e.Member)
		s.hashes = append(s.hashes, xxhash.Sum64String(string(e.Entry)))
		s.selfActive = s.selfActive || e.ID() == self
	}
	return s
}

// owner returns the active member with the highest score for subject (rendezvous hashing),
// and false if there is none. When a member joins or leaves, only its own subjects change
// their owner.
func (s *snapshot) owner(subject string) (knapweedpulley.Member, bool) {
	hash := xxhash.Sum64String(subject)
	best := -1
	var highest uint64
	for i, h := range s.hashes {
		if score := mix(hash ^ h); best < 0 || score > highest {
			best = i
			highest = score
		}
	}
	if best < 0 {
		return knapweedpulley.Member{}, false
	}
	return s.active[best], true
}

// mix mixes the bits of x with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// evicted returns the processes that are marked as evicted.
func (s *snapshot) evicted() []knapweedpulley.RegisteredEntry {
	var list []knapweedpulley.RegisteredEntry
	for _, e := range s.view.Entries {
		if e.State == knapweedpulley.EntryEvicted {
			list = append(list, e)
		}
	}
	return list
}
