package knapweedpulley

import (
	"strconv"
	"time"
)

// Tokens counts prompt and completion tokens.
type Tokens int64

// TokensPerSecond is a rate of tokens.
type TokensPerSecond float64

// Over returns the tokens that the rate yields in d.
func (r TokensPerSecond) Over(d time.Duration) float64 {
	return float64(r) * d.Seconds()
}

// Bytes is an amount of memory or data.
type Bytes int64

// Multiples of a byte.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

// String returns the amount in the largest binary unit that divides it.
func (b Bytes) String() string {
	units := []struct {
		size Bytes
		name string
	}{{GiB, "GiB"}, {MiB, "MiB"}, {KiB, "KiB"}}
	for _, u := range units {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + " " + u.name
		}
	}
	return strconv.FormatInt(int64(b), 10) + " B"
}

// Replicas counts the endpoints that hold a model.
type Replicas int

// Weight is a customer's weight in fair queueing.
type Weight float64

// Offset is a position in the bytes of an answer.
type Offset int64
