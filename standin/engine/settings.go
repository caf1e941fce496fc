package engine

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/standin/record"
)

const (
	defaultMemory          = 80 * knapweedpulley.GiB
	defaultSlots           = 8
	defaultTokenTime       = 2 * time.Millisecond
	defaultPromptTime      = 10 * time.Microsecond
	defaultRestartTime     = 500 * time.Millisecond
	defaultAdapterTime     = 10 * time.Millisecond
	defaultUnloadTime      = 20 * time.Millisecond
	defaultMemoryBandwidth = 64 * knapweedpulley.GiB
	defaultDiskBandwidth   = 16 * knapweedpulley.GiB
	defaultRemoteBandwidth = 4 * knapweedpulley.GiB
	defaultCachedInMemory  = 4
	defaultCachedOnDisk    = 16
)

// Cached is a checkpoint in the cache of the machine.
type Cached struct {
	Model knapweedpulley.ModelID   `json:"model"`
	Tier  knapweedpulley.CacheTier `json:"tier"`
}

// Settings are the settings of an engine.
type Settings struct {
	Memory knapweedpulley.Bytes `json:"memory"`
	// Slots is the number of requests that run concurrently in a batch.
	Slots int `json:"slots"`
	// TokenTime is the time to generate one token.
	TokenTime settings.Duration `json:"tokenTime"`
	// PromptTime is the time to process one token of a prompt.
	PromptTime settings.Duration `json:"promptTime"`
	// CheckTokens makes the engine refuse orders with an old fencing token.
	CheckTokens bool `json:"checkTokens"`
	// LoadLag is the delay with which the counts of requests are reported.
	LoadLag settings.Duration `json:"loadLag"`
	// RestartTime is how long the engine is unavailable after a crash.
	RestartTime settings.Duration `json:"restartTime"`
	AdapterTime settings.Duration `json:"adapterTime"`
	UnloadTime  settings.Duration `json:"unloadTime"`
	// The bandwidths are those of loads from each tier, in bytes per second. RemoteBandwidth
	// applies only without a weight store.
	MemoryBandwidth knapweedpulley.Bytes `json:"memoryBandwidth"`
	DiskBandwidth   knapweedpulley.Bytes `json:"diskBandwidth"`
	RemoteBandwidth knapweedpulley.Bytes `json:"remoteBandwidth"`
	// CachedInMemory and CachedOnDisk bound the number of checkpoints in each tier of the
	// cache.
	CachedInMemory int      `json:"cachedInMemory"`
	CachedOnDisk   int      `json:"cachedOnDisk"`
	Cached         []Cached `json:"cached"`
	// WeightStore is the base URL of the weight store, or "".
	WeightStore string `json:"weightStore"`
	// RecordLimit bounds the recorded bytes of received requests.
	RecordLimit int `json:"recordLimit"`
}

// DefaultSettings returns the settings of a small engine.
func DefaultSettings() Settings {
	return Settings{
		Memory:          defaultMemory,
		Slots:           defaultSlots,
		TokenTime:       settings.Duration(defaultTokenTime),
		PromptTime:      settings.Duration(defaultPromptTime),
		RestartTime:     settings.Duration(defaultRestartTime),
		AdapterTime:     settings.Duration(defaultAdapterTime),
		UnloadTime:      settings.Duration(defaultUnloadTime),
		MemoryBandwidth: defaultMemoryBandwidth,
		DiskBandwidth:   defaultDiskBandwidth,
		RemoteBandwidth: defaultRemoteBandwidth,
		CachedInMemory:  defaultCachedInMemory,
		CachedOnDisk:    defaultCachedOnDisk,
		RecordLimit:     record.DefaultLimit,
	}
}

// Check implements knapweedpulley.Checker.
func (s *Settings) Check(f knapweedpulley.FieldErrors) {
	f.Positive("memory", float64(s.Memory))
	f.Positive("slots", float64(s.Slots))
	f.Positive("memoryBandwidth", float64(s.MemoryBandwidth))
	f.Positive("diskBandwidth", float64(s.DiskBandwidth))
	f.Positive("remoteBandwidth", float64(s.RemoteBandwidth))
	for i, c := range s.Cached {
		if c.Tier < knapweedpulley.TierMemory || c.Tier > knapweedpulley.TierRemote {
			f.In("cached[%d]", i).Addf("tier", c.Tier, "must be 1 (memory), 2 (disk) or 3 (remote)")
		}
	}
}
