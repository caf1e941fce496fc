package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	// adapterSlots is the number of adapters that an engine holds.
	adapterSlots = 2
	// minLateness and maxLateness bound how much later a late order is carried out. One order of
	// punctualShare isn't late during the fault.
	minLateness   = time.Second
	maxLateness   = 6 * time.Second
	punctualShare = 4
	// lateOrderInterval is the time between two tries to carry out a late order.
	lateOrderInterval = 5 * time.Millisecond
)

// order is an order to an engine.
type order struct {
	OpType, Model, Adapter     string
	Precondition, FencingToken uint64
}

// name returns the name of the model or adapter.
func (o *order) name() string {
	if o.Adapter == "" {
		return o.Model
	}
	return o.Model + "/" + o.Adapter
}

func (e *Endpoint) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	// The server notices that its peer closes the connection only once the body has been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Expect-Instance")
	e.mu.Lock()
	e.orderCount++
	key := fmt.Sprint("order ", e.orderCount)
	e.mu.Unlock()
	if e.faultLeft(LateOrders) <= 0 || e.choices(LateOrders, key, "").IntN(punctualShare) == 0 {
		w.WriteHeader(e.carryOut(id, &o))
		return
	}
	go e.carryOutLate(id, &o)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// carryOutLate carries out an order between minLateness and maxLateness later, as soon as it is
// not refused. Of the orders of a keeper that has been disturbed since, only the last is late:
// its successor keeps room for one.
func (e *Endpoint) carryOutLate(id string, o *order) {
	givenAt := time.Now()
	e.mu.Lock()
	e.lastLateOrder = o
	e.mu.Unlock()
	time.Sleep(minLateness)
	for time.Since(givenAt) < maxLateness {
		e.mu.Lock()
		dropped := e.lastLateOrder != o && e.keeper.UndisturbedFor() < time.Since(givenAt)
		e.mu.Unlock()
		if dropped || e.carryOut(id, o) == http.StatusAccepted {
			return
		}
		time.Sleep(lateOrderInterval)
	}
}

// carryOut carries out an order to the instance with an id, and returns the status of the answer.
func (e *Endpoint) carryOut(id string, o *order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.running || id != e.id {
		return http.StatusMisdirectedRequest
	}
	if o.FencingToken < e.highestToken {
		e.recorder.RecordViolation("engine %s got an order with fencing token %d after one with %d", e.id, o.FencingToken, e.highestToken)
	}
	e.highestToken = max(e.highestToken, o.FencingToken)
	if e.loading || o.Precondition != e.sequence {
		return http.StatusConflict
	}
	held := slices.Contains(e.loadedModels, o.Model)
	if o.Adapter != "" && !held {
		return http.StatusBadRequest
	}
	if o.Adapter != "" {
		held = slices.Contains(e.adapters[o.Model], o.Adapter)
	}
	if held == (o.OpType == "load") {
		return http.StatusOK
	}
	e.sequence++
	switch {
	case o.OpType == "unload" && o.Adapter == "":
		e.loadedModels = slices.DeleteFunc(e.loadedModels, func(m string) bool { return m == o.Model })
		delete(e.adapters, o.Model)
	case o.OpType == "unload":
		e.adapters[o.Model] = slices.DeleteFunc(e.adapters[o.Model], func(a string) bool { return a == o.Adapter })
	case o.Adapter == "":
		e.loadModel(o)
	default:
		e.loadAdapter(o)
	}
	return http.StatusAccepted
}

func (e *Endpoint) loadModel(o *order) {
	if len(e.loadedModels) >= modelsPerEngine {
		e.recorder.RecordViolation("engine %s was ordered to load %s while it holds %v", e.id, o.name(), e.loadedModels)
	}
	e.loading = true
	stop, loadTime := e.stop, modelLoadTime
	if isCold(o.Model) {
		loadTime = coldLoadTime
	}
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.stop == stop {
			e.loading = false
			e.loadedModels = append(e.loadedModels, o.Model)
		}
	})
}

func (e *Endpoint) loadAdapter(o *order) {
	count := 0
	for _, list := range e.adapters {
		count += len(list)
	}
	if count >= adapterSlots {
		e.recorder.RecordViolation("engine %s was ordered to load %s while it holds the adapters %v", e.id, o.name(), e.adapters)
	}
	e.adapters[o.Model] = append(e.adapters[o.Model], o.Adapter)
}

// restartAfter ends the endpoint and starts it again with the same id after a pause.
func (e *Endpoint) restartAfter(pause time.Duration) error {
	e.mu.Lock()
	err := e.end()
	e.mu.Unlock()
	e.proxy.Reset()
	time.Sleep(pause)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || e.closed {
		return err
	}
	return e.start(true)
}

// lateOrders makes some orders to an engine late, and restarts the engine meanwhile.
func (i *Injector) lateOrders(random *rand.Rand) {
	s := i.cluster.backends[random.IntN(engineCount)]
	before := time.Second + time.Duration(random.Int64N(int64(2*time.Second)))
	pause := minFaultDuration + time.Duration(random.Int64N(int64(time.Second)))
	seed := random.Uint64()
	i.inject("late orders over a restart", s, func() error {
		s.Inject(LateOrders, before, seed)
		time.Sleep(before)
		return s.restartAfter(pause)
	})
}
