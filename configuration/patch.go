package configuration

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedpulley/knapweedpulley"
)

// minPatchSaving is the minimum number of bytes that a patch must save over the full value.
const minPatchSaving = 256

// makePatch returns a change that carries only the part of the value that differs from the previous
// value, or the full value if that saves less than minPatchSaving bytes.
func makePatch(before knapweedpulley.Object, c knapweedpulley.Change) knapweedpulley.ConfigurationChange {
	whole := knapweedpulley.ConfigurationChange{Change: c}
	if c.Deleted || before.Revision == 0 {
		return whole
	}
	prefix := commonPrefix(before.Value, c.Value)
	suffix := commonSuffix(before.Value[prefix:], c.Value[prefix:])
	if prefix+suffix < minPatchSaving {
		return whole
	}
	short := whole
	short.Base, short.Prefix, short.Suffix = before.Revision, prefix, suffix
	short.Sum = sumOf(c.Value)
	short.Value = slices.Clone(c.Value[prefix : len(c.Value)-suffix])
	return short
}

// applyPatch returns a change with its full value, and false if the object does not have the value
// that the patch is based on.
func applyPatch(before knapweedpulley.Object, c knapweedpulley.ConfigurationChange) (knapweedpulley.Change, bool) {
	if c.Base == 0 {
		return c.Change, true
	}
	kept := before.Value
	if before.Revision != c.Base || c.Prefix < 0 || c.Suffix < 0 || c.Prefix > len(kept)-c.Suffix {
		return c.Change, false
	}
	whole := c.Change
	whole.Value = slices.Concat(kept[:c.Prefix], c.Value, kept[len(kept)-c.Suffix:])
	return whole, sumOf(whole.Value) == c.Sum
}

// withFullValues converts changes to the form in which they are sent, with their full values.
func withFullValues(changes []knapweedpulley.Change) []knapweedpulley.ConfigurationChange {
	result := make([]knapweedpulley.ConfigurationChange, 0, len(changes))
	for _, c := range changes {
		result = append(result, knapweedpulley.ConfigurationChange{Change: c})
	}
	return result
}

func sumOf(value []byte) knapweedpulley.Fingerprint {
	return knapweedpulley.Fingerprint(xxhash.Sum64(value))
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}
