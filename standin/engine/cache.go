package engine

import (
	"slices"

	"github.com/knapweedpulley/knapweedpulley"
)

// cache lists the checkpoints that a machine holds in memory and on disk, the most recently
// used first. It survives crashes of the engine.
type cache struct {
	inMemory int
	onDisk   int
	list     []Cached
}

func newCache(s Settings) cache {
	return cache{inMemory: s.CachedInMemory, onDisk: s.CachedOnDisk, list: slices.Clone(s.Cached)}
}

// tier returns the tier from which a checkpoint is loaded.
func (c *cache) tier(model knapweedpulley.ModelID) knapweedpulley.CacheTier {
	for _, e := range c.list {
		if e.Model == model {
			return e.Tier
		}
	}
	return knapweedpulley.TierRemote
}

// markUsed moves a checkpoint to memory. The least recently used checkpoints beyond the
// bound of a tier move down to the next, from disk out of the cache.
func (c *cache) markUsed(model knapweedpulley.ModelID) {
	others := slices.DeleteFunc(c.list, func(e Cached) bool { return e.Model == model })
	c.list = append([]Cached{{Model: model, Tier: knapweedpulley.TierMemory}}, others...)
	inMemory, onDisk := 0, 0
	for i := range c.list {
		e := &c.list[i]
		if e.Tier == knapweedpulley.TierMemory {
			if inMemory++; inMemory > c.inMemory {
				e.Tier = knapweedpulley.TierDisk
			}
		}
		if e.Tier == knapweedpulley.TierDisk {
			if onDisk++; onDisk > c.onDisk {
				e.Tier = knapweedpulley.TierRemote
			}
		}
	}
	c.list = slices.DeleteFunc(c.list, func(e Cached) bool { return e.Tier == knapweedpulley.TierRemote })
}
