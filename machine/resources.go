package machine

import (
	"math"

	"golang.org/x/sys/unix"

	"github.com/knapweedpulley/knapweedpulley"
)

// Memory returns the memory of the machine.
func Memory() knapweedpulley.Bytes {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		panic("read the machine's memory: " + err.Error())
	}
	// The fields' types differ between architectures.
	return knapweedpulley.Bytes(uint64(info.Totalram) * uint64(info.Unit)) //nolint:gosec,unconvert // It fits.
}

// MemoryOf returns the memory that a setting in megabytes names, or that of the machine if it is zero.
func MemoryOf(megabytes int64) knapweedpulley.Bytes {
	if megabytes > 0 {
		return knapweedpulley.Bytes(megabytes * bytesPerMB)
	}
	return Memory()
}

// Descriptors returns the number of descriptors that a setting names, or if it is zero or larger, the
// number that the process may open.
func Descriptors(setting int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		panic("read the limit of descriptors: " + err.Error())
	}
	allowed := int(min(limit.Cur, math.MaxInt32)) //nolint:gosec // It fits.
	if setting > 0 {
		return min(setting, allowed)
	}
	return allowed
}
