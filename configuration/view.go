package configuration

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
)

// View is the content of a collection at one revision. It is immutable.
type View struct {
	// Loaded is false until the content is known.
	Loaded bool
	// Revision is the revision up to which the content is complete.
	Revision knapweedpulley.Revision
	// Objects holds the objects by name. The map is shared and must not be modified.
	Objects map[string]knapweedpulley.Object
	// Digest is the XOR of the hashes of all objects.
	Digest knapweedpulley.Fingerprint
	// changed is closed when a newer view replaces this one.
	changed chan struct{}
}

// Changed returns a channel that is closed when a newer view replaces this one.
func (v *View) Changed() <-chan struct{} {
	return v.changed
}

// digestOf returns the hash of an object's name and revision. The value need not be hashed, since
// the store never has two values for the same name and revision.
func digestOf(o knapweedpulley.Object) knapweedpulley.Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(o.Name)
	var revision [8]byte
	binary.BigEndian.PutUint64(revision[:], uint64(o.Revision))
	_, _ = d.Write(revision[:])
	return knapweedpulley.Fingerprint(d.Sum64())
}
