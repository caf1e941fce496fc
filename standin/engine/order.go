package engine

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// Order is the body of POST /orders.
type Order struct {
	Kind    knapweedpulley.OrderKind    `json:"kind"`
	Model   knapweedpulley.ModelID      `json:"model"`
	Adapter knapweedpulley.AdapterID    `json:"adapter,omitempty"`
	Size    knapweedpulley.Bytes        `json:"size,omitempty"`
	Token   knapweedpulley.FencingToken `json:"token,omitempty"`
	Timeout settings.Duration           `json:"timeout,omitempty"`
}

// OrderError reports why an order was not carried out.
type OrderError struct {
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (o *OrderError) Error() string {
	return o.Code + ": " + o.Message
}

func orderErrorf(status int, code, format string, args ...any) *OrderError {
	return &OrderError{Status: status, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Order carries out an order and waits for its outcome. If ctx or the order's timeout ends
// first, it returns an error, but the load or unload continues.
func (e *Engine) Order(ctx context.Context, o Order) error {
	if o.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(o.Timeout))
		defer cancel()
	}
	i, err := e.beginOrder(o)
	if err != nil || i == nil {
		return err
	}
	select {
	case <-i.done:
		return i.err
	case <-ctx.Done():
		return orderErrorf(http.StatusGatewayTimeout, "deadlineExceeded", "%s of %s is still in progress", o.Kind, o.Model)
	}
}

// beginOrder starts to carry out an order and returns the item to wait for, or nil if there
// is nothing to do.
func (e *Engine) beginOrder(o Order) (*item, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restarting() {
		return nil, orderErrorf(http.StatusServiceUnavailable, "restarting", "the engine is restarting")
	}
	if e.settings.CheckTokens {
		if o.Token < e.fencingToken {
			return nil, orderErrorf(http.StatusConflict, "fenced", "fencing token is %d, must be at least %d", o.Token, e.fencingToken)
		}
		e.fencingToken = o.Token
	}
	switch o.Kind {
	case knapweedpulley.OrderLoadModel:
		return e.beginLoadModel(o)
	case knapweedpulley.OrderLoadAdapter:
		return e.beginLoadAdapter(o)
	case knapweedpulley.OrderUnloadModel:
		return e.beginUnloadModel(o)
	case knapweedpulley.OrderUnloadAdapter:
		return e.beginUnloadAdapter(o)
	default:
		return nil, orderErrorf(http.StatusBadRequest, "invalidRequest", "unknown order kind %q", o.Kind)
	}
}

// existingItem returns an item that is loaded or loading already, or an error if it is being
// unloaded.
func existingItem(i *item, name string) (*item, error) {
	if i.state == knapweedpulley.StateUnloading {
		return nil, orderErrorf(http.StatusConflict, "unloading", "%s is being unloaded", name)
	}
	return i, nil
}

func (e *Engine) checkSize(o Order) error {
	if o.Size <= 0 {
		return orderErrorf(http.StatusBadRequest, "invalidRequest", "size must be above 0")
	}
	if !e.memory.fits(o.Size) {
		return orderErrorf(http.StatusInsufficientStorage, "outOfMemory", "%d bytes do not fit", o.Size)
	}
	return nil
}

func (e *Engine) beginLoadModel(o Order) (*item, error) {
	if m, ok := e.memory.models[o.Model]; ok {
		return existingItem(m.item, string(o.Model))
	}
	if err := e.checkSize(o); err != nil {
		return nil, err
	}
	m := &model{item: newItem(o.Size), adapters: make(map[knapweedpulley.AdapterID]*item)}
	e.memory.models[o.Model] = m
	tier := e.cache.tier(o.Model)
	e.startLoad(m.item, func(current incarnation) error {
		return e.transferModel(current, o, tier)
	}, func(ok bool) {
		if ok {
			e.cache.markUsed(o.Model)
		} else {
			delete(e.memory.models, o.Model)
		}
	})
	return m.item, nil
}

func (e *Engine) beginLoadAdapter(o Order) (*item, error) {
	m, ok := e.memory.models[o.Model]
	if !ok || m.state != knapweedpulley.StateLoaded {
		return nil, orderErrorf(http.StatusNotFound, "modelNotFound", "model %s is not loaded", o.Model)
	}
	if a, ok := m.adapters[o.Adapter]; ok {
		return existingItem(a, string(o.Adapter))
	}
	if err := e.checkSize(o); err != nil {
		return nil, err
	}
	a := newItem(o.Size)
	m.adapters[o.Adapter] = a
	e.startLoad(a, func(current incarnation) error {
		if e.fetch != nil {
			return e.fetch(current.ctx, string(o.Adapter), 0)
		}
		return current.simulateWork(time.Duration(e.settings.AdapterTime))
	}, func(ok bool) {
		if !ok {
			delete(m.adapters, o.Adapter)
		}
	})
	return a, nil
}

// transferModel takes as long as loading a model from a tier does.
func (e *Engine) transferModel(current incarnation, o Order, tier knapweedpulley.CacheTier) error {
	bandwidth := e.settings.RemoteBandwidth
	switch {
	case tier == knapweedpulley.TierMemory:
		bandwidth = e.settings.MemoryBandwidth
	case tier == knapweedpulley.TierDisk:
		bandwidth = e.settings.DiskBandwidth
	case e.fetch != nil:
		return e.fetch(current.ctx, string(o.Model), o.Size)
	}
	return current.simulateWork(time.Duration(float64(o.Size) / float64(bandwidth) * float64(time.Second)))
}

// startLoad runs work for an item in a goroutine that belongs to the current incarnation.
// Once work has ended, finish is called under the lock, unless the engine has crashed. The
// caller holds the lock.
func (e *Engine) startLoad(i *item, work func(current incarnation) error, finish func(ok bool)) {
	current := e.incarnation
	e.loads.Go(func() {
		err := work(current)
		e.mu.Lock()
		defer e.mu.Unlock()
		defer close(i.done)
		if current.ctx.Err() != nil {
			i.err = orderErrorf(http.StatusServiceUnavailable, "crashed", "the engine crashed")
			return
		}
		if err != nil {
			i.err = orderErrorf(http.StatusBadGateway, "loadFailed", "%s", err.Error())
		} else {
			i.state = knapweedpulley.StateLoaded
		}
		finish(err == nil)
	})
}
