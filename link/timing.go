package link

import "time"

const (
	// HeartbeatPeriod is the time between two heartbeats on a link.
	HeartbeatPeriod = 500 * time.Millisecond
	// SilenceTimeout is the time without a frame from the peer after which a link is
	// considered lost, even if its connection is still open.
	SilenceTimeout = 1500 * time.Millisecond
	// MaxStampAge bounds the age of the stamp of a request or order, which is the latest
	// agent time known to the entry. The agent refuses a request or order with an older
	// stamp. The bound equals the duration of the lease of an entry.
	MaxStampAge = 3 * time.Second
	// resumeTimeout is the time after the loss of a link after which an entry fails
	// the calls and orders that are waiting for a new connection.
	resumeTimeout = 4 * time.Second
	// reconnectDelay is the time between two attempts to open a connection.
	reconnectDelay = 200 * time.Millisecond
	// orphanTimeout is the time after the loss of a link after which an agent cancels
	// the attempts of the entry, unless the entry has reconnected.
	orphanTimeout = 10 * time.Second
	// attemptRetention is the time for which an agent keeps a finished or refused
	// attempt, or a finished order, so that a late frame doesn't run it again. It is
	// well above MaxStampAge, after which the agent refuses a late frame because of its
	// stamp.
	attemptRetention = 30 * time.Second
	// cancelTimeout bounds the wait for the outcome of a canceled attempt.
	cancelTimeout = 300 * time.Millisecond
)

const (
	// answerWindow bounds the bytes of an answer that an agent sends before the
	// entry has acknowledged them. Both sides buffer as much for each caller that doesn't read its answer,
	// and the smallest machine has memory for 500 connections of callers.
	answerWindow = 128 << 10
	// acknowledgeThreshold is the number of bytes of an answer after which an entry
	// sends an acknowledgment.
	acknowledgeThreshold = 64 << 10
)
