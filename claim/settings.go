package claim

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// bucketCount is the number of buckets. All entry processes must use the same number.
	bucketCount = 16
	// maxBatchSize bounds the estimated size of the records that one batch changes. A batch ends
	// after the record with which it exceeds the bound.
	maxBatchSize = 512 * knapweedpulley.KiB
	// maxDocumentSize bounds an encoded object. The store accepts objects of up to one megabyte.
	maxDocumentSize = 960 * knapweedpulley.KiB
	// maxCompensatingReleases bounds the compensating releases of a bucket that wait until the store
	// is available again.
	maxCompensatingReleases = 10_000
	// maxParallelReads bounds the archives that a bucket reads at the same time.
	maxParallelReads = 8

	defaultBatchDelay       = 10 * time.Millisecond
	defaultWriteInterval    = 100 * time.Millisecond
	defaultStoreTimeout     = time.Second
	defaultRetryDelay       = 20 * time.Millisecond
	defaultRetention        = 24 * time.Hour
	defaultIdleTimeout      = 10 * time.Minute
	defaultArchiveThreshold = 64 * knapweedpulley.KiB
	defaultMaxAnswerSize    = 16 * knapweedpulley.KiB
)

// Settings holds the time-outs, delays and size limits of a ledger.
type Settings struct {
	// BatchDelay is the time for which a bucket collects operations so that they share a write.
	BatchDelay time.Duration
	// WriteInterval is the minimum time between two writes of a bucket.
	WriteInterval time.Duration
	// StoreTimeout bounds the time for which a bucket tries to commit a batch, retries included.
	StoreTimeout time.Duration
	// RetryDelay is the time between two tries.
	RetryDelay time.Duration
	// Retention is the time for which a claim is kept after its last change.
	Retention time.Duration
	// IdleTimeout is the time after which an unused bucket is removed from memory.
	IdleTimeout time.Duration
	// ArchiveThreshold is the estimated size above which the records of a head move to an archive.
	ArchiveThreshold knapweedpulley.Bytes
	// MaxAnswerSize is the size of the largest answer that is kept.
	MaxAnswerSize knapweedpulley.Bytes
}

// DefaultSettings returns settings that suit the platform's store.
func DefaultSettings() Settings {
	return Settings{
		BatchDelay:       defaultBatchDelay,
		WriteInterval:    defaultWriteInterval,
		StoreTimeout:     defaultStoreTimeout,
		RetryDelay:       defaultRetryDelay,
		Retention:        defaultRetention,
		IdleTimeout:      defaultIdleTimeout,
		ArchiveThreshold: defaultArchiveThreshold,
		MaxAnswerSize:    defaultMaxAnswerSize,
	}
}
