package engine

import (
	"github.com/knapweedpulley/knapweedpulley"
)

// item is a model or an adapter in an engine's memory.
type item struct {
	size  knapweedpulley.Bytes
	state knapweedpulley.LoadState
	// done is closed when the load or unload has ended; err is set before.
	done chan struct{}
	err  error
	// users is the number of requests that use the item. idle is closed once the item is
	// being unloaded and no request uses it.
	users int
	idle  chan struct{}
}

func newItem(size knapweedpulley.Bytes) *item {
	return &item{
		size:  size,
		state: knapweedpulley.StateLoading,
		done:  make(chan struct{}),
		idle:  make(chan struct{}),
	}
}

func (i *item) acquire() {
	i.users++
}

func (i *item) release() {
	i.users--
	i.closeIfIdle()
}

// markUnloading sets the state to unloading, so that idle is closed once no request uses the
// item.
func (i *item) markUnloading() {
	i.state = knapweedpulley.StateUnloading
	i.closeIfIdle()
}

func (i *item) closeIfIdle() {
	if i.state == knapweedpulley.StateUnloading && i.users == 0 {
		close(i.idle)
	}
}

// model is a base model in an engine's memory.
type model struct {
	*item
	adapters map[knapweedpulley.AdapterID]*item
}

// memory contains the loaded models and adapters. The lock of the engine guards it.
type memory struct {
	size   knapweedpulley.Bytes
	models map[knapweedpulley.ModelID]*model
}

func newMemory(size knapweedpulley.Bytes) memory {
	return memory{size: size, models: make(map[knapweedpulley.ModelID]*model)}
}

// fits reports whether size more bytes fit into the memory, in which loads in progress count
// in full.
func (m *memory) fits(size knapweedpulley.Bytes) bool {
	used := size
	for _, o := range m.models {
		used += o.size
		for _, a := range o.adapters {
			used += a.size
		}
	}
	return used <= m.size
}

// find returns the loaded items that a request for name needs: the base model
// and, if name is an adapter, the adapter.
func (m *memory) find(name string) []*item {
	if o, ok := m.models[knapweedpulley.ModelID(name)]; ok {
		return loaded(o.item)
	}
	for _, o := range m.models {
		if a, ok := o.adapters[knapweedpulley.AdapterID(name)]; ok {
			return loaded(o.item, a)
		}
	}
	return nil
}

// loaded returns the items if all of them are loaded, or else nil.
func loaded(items ...*item) []*item {
	for _, i := range items {
		if i.state != knapweedpulley.StateLoaded {
			return nil
		}
	}
	return items
}
