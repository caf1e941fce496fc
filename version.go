package knapweedpulley

import "strconv"

type (
	// Version counts the changes of one customer's configuration.
	Version uint64
	// ChangeID names one change of the configuration, so that its author can
	// recognize it in the store.
	ChangeID string
)

// String returns the decimal form of the version.
func (v Version) String() string {
	return strconv.FormatUint(uint64(v), 10)
}
