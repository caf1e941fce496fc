package engine

import (
	"net/http"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

func (e *Engine) beginUnloadModel(o Order) (*item, error) {
	m, ok := e.memory.models[o.Model]
	if !ok {
		return nil, nil
	}
	return e.beginUnload(m.item, string(o.Model), func() { delete(e.memory.models, o.Model) })
}

func (e *Engine) beginUnloadAdapter(o Order) (*item, error) {
	m, ok := e.memory.models[o.Model]
	if !ok {
		return nil, nil
	}
	a, ok := m.adapters[o.Adapter]
	if !ok {
		return nil, nil
	}
	return e.beginUnload(a, string(o.Adapter), func() { delete(m.adapters, o.Adapter) })
}

// beginUnload starts to unload an item: free is called once no request uses it and the
// unload time has passed. The caller holds the lock.
func (e *Engine) beginUnload(i *item, name string, free func()) (*item, error) {
	switch i.state {
	case knapweedpulley.StateLoading:
		return nil, orderErrorf(http.StatusConflict, "loading", "%s is being loaded", name)
	case knapweedpulley.StateUnloading:
		return i, nil
	}
	i.done = make(chan struct{})
	i.markUnloading()
	current := e.incarnation
	e.loads.Go(func() {
		i.err = e.awaitUnload(current, i)
		e.mu.Lock()
		defer e.mu.Unlock()
		defer close(i.done)
		if i.err == nil {
			free()
		}
	})
	return i, nil
}

// awaitUnload waits until the item is idle, and then for the unload time.
func (e *Engine) awaitUnload(current incarnation, i *item) error {
	select {
	case <-i.idle:
	case <-current.ctx.Done():
	}
	if current.simulateWork(time.Duration(e.settings.UnloadTime)) != nil {
		return orderErrorf(http.StatusServiceUnavailable, "crashed", "the engine crashed")
	}
	return nil
}
