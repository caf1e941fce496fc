package keeper

import (
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/knapweedpulley/knapweedpulley"
)

// lateOrder is an order without a known outcome. The engine carries it out if it arrives
// before expiresAt and finds the sequence number that it names.
type lateOrder struct {
	knapweedpulley.EngineOrder
	// inherited orders stand for those of the keeper's predecessor: Sequence is the highest
	// that it can have named, and Endpoint is empty while it is not known.
	inherited bool
	// start is the run of the engine that the order was given to, 0 if it is not known.
	start              uint64
	givenAt, expiresAt knapweedpulley.Instant
	// counting is set while room is kept for the order.
	counting bool
}

// voidReason returns why the order can't be carried out unless the engine restarts, or an empty
// string if it can.
func (o *lateOrder) voidReason(r *knapweedpulley.EngineSnapshot, known engineRun) string {
	switch {
	case r.Sequence >= o.Sequence:
		// The next order names this sequence number too, and only one of the two is accepted.
		return "the engine's sequence number has reached that of the order"
	case known.start == r.Start && o.Endpoint != "" && known.endpoint != o.Endpoint:
		return "the engine has another id"
	default:
		return ""
	}
}

// reservation is room for late orders.
type reservation struct {
	memory knapweedpulley.Bytes
	slots  int
}

func (v reservation) plus(w reservation) reservation {
	return reservation{memory: v.memory + w.memory, slots: v.slots + w.slots}
}

// engineRun is a run of the engine that accepted an order to endpoint.
type engineRun struct {
	start    uint64
	endpoint knapweedpulley.EndpointID
}

// lateOrders holds the orders that the engine may still carry out, and the room to keep for
// them. While the engine runs on, a late order names the sequence number of the next order or
// an older one, so it takes the place of the next order or is refused, and needs no room. After
// a restart of the engine it needs room until the sequence number has reached its own.
type lateOrders struct {
	log      log.Interface
	lateness time.Duration
	orders   []*lateOrder
	known    engineRun
	// started is set after the first reading of the engine.
	started bool
}

func newLateOrders(log log.Interface, lateness time.Duration) *lateOrders {
	return &lateOrders{log: log, lateness: lateness}
}

// add records an order without a known outcome. The clock reads now after the order was sent.
func (l *lateOrders) add(o knapweedpulley.EngineOrder, start uint64, now knapweedpulley.Instant) {
	l.orders = append(l.orders, &lateOrder{EngineOrder: o, start: start, givenAt: now, expiresAt: now.Add(l.lateness)})
}

// identify records that a run of the engine accepted an order to an endpoint.
func (l *lateOrders) identify(start uint64, endpoint knapweedpulley.EndpointID) {
	l.known = engineRun{start: start, endpoint: endpoint}
	for _, o := range l.orders {
		if o.inherited && o.start == start {
			o.Endpoint = endpoint
		}
	}
}

// observe updates the orders from a new reading of the engine.
func (l *lateOrders) observe(r *knapweedpulley.EngineSnapshot, now knapweedpulley.Instant) {
	if !l.started {
		l.started = true
		l.inherit(r, now)
	}
	l.orders = slices.DeleteFunc(l.orders, func(o *lateOrder) bool {
		expired := !o.expiresAt.After(now)
		if expired {
			l.setCounting(o, false, "the time is over in which it can be carried out", now)
		}
		return expired
	})
	for _, o := range l.orders {
		if reason := o.voidReason(r, l.known); reason != "" {
			l.setCounting(o, false, reason, now)
			continue
		}
		l.setCounting(o, true, "the engine has restarted since", now)
	}
}

// inherit adds the orders that the keeper's predecessor may have given: to the present run of
// the engine, and to the run before.
func (l *lateOrders) inherit(r *knapweedpulley.EngineSnapshot, now knapweedpulley.Instant) {
	l.orders = append(l.orders, &lateOrder{
		inherited: true, EngineOrder: knapweedpulley.EngineOrder{Sequence: r.Sequence}, start: r.Start,
		givenAt: now, expiresAt: now.Add(l.lateness),
	})
	age := max(0, time.Since(time.UnixMilli(int64(min(r.Start, math.MaxInt64))))) //nolint:gosec // The value is bounded.
	if age < l.lateness && mayHaveRunBefore(r) {
		l.orders = append(l.orders, &lateOrder{
			inherited: true, EngineOrder: knapweedpulley.EngineOrder{Sequence: math.MaxUint64},
			givenAt: now.Add(-age), expiresAt: now.Add(l.lateness - age),
		})
	}
}

// mayHaveRunBefore reports whether a run of the engine with the same id may have accepted orders
// before the present one. An engine that restarts with its id holds no models until it is
// ordered to load them. An engine without cached checkpoints has loaded none in any run.
func mayHaveRunBefore(r *knapweedpulley.EngineSnapshot) bool {
	return uint64(len(r.Models)) <= r.Sequence && len(r.Cached) > 0
}

func (l *lateOrders) setCounting(o *lateOrder, counting bool, reason string, now knapweedpulley.Instant) {
	if o.counting == counting {
		return
	}
	o.counting = counting
	message := "no longer keeping room for a late order"
	if counting {
		message = "keeping room for a late order"
	}
	entry := l.log.WithField("age", now.Sub(o.givenAt).String()).WithField("reason", reason)
	if o.inherited {
		entry.WithField("order", "of the keeper before").Info(message)
		return
	}
	entry.WithField("order", o.Kind).WithField("model", o.Model).WithField("adapter", o.Adapter).
		WithField("sequence", o.Sequence).Info(message)
}

// reserve returns the room to keep free of the next order, which loads next. Late orders are
// carried out one at a sequence number, so those of one number count as the largest of them,
// and those behind an unused number can't be carried out before further orders.
func (l *lateOrders) reserve(
	r *knapweedpulley.EngineSnapshot, spec *knapweedpulley.EngineSpec, next knapweedpulley.Resident,
) reservation {
	total := l.reserveNamed(r, spec, next)
	// An engine that holds nothing gets its first model at once.
	inherited := func(o *lateOrder) bool { return o.counting && o.inherited }
	if len(r.Models) > 0 && slices.ContainsFunc(l.orders, inherited) {
		loaded := knapweedpulley.LoadedModel{Model: next.Model, State: knapweedpulley.StateLoaded}
		total = total.plus(reservation{memory: largestModel(spec, append(slices.Clone(r.Models), loaded)), slots: 1})
	}
	return total
}

// reserveNamed returns the room for the late orders of which the sequence numbers are known.
func (l *lateOrders) reserveNamed(
	r *knapweedpulley.EngineSnapshot, spec *knapweedpulley.EngineSpec, next knapweedpulley.Resident,
) reservation {
	var total reservation
	for sequence := r.Sequence + 1; ; sequence++ {
		worst, found := l.worstAt(sequence, r, spec, next)
		if !found {
			return total
		}
		total = total.plus(worst)
	}
}

// worstAt returns the room for the late orders that name a sequence number, and whether there
// are any.
func (l *lateOrders) worstAt(
	sequence uint64, r *knapweedpulley.EngineSnapshot, spec *knapweedpulley.EngineSpec, next knapweedpulley.Resident,
) (reservation, bool) {
	var worst reservation
	found := false
	for _, o := range l.orders {
		if !o.counting || o.inherited || o.Sequence != sequence {
			continue
		}
		found = true
		if o.Resident == next || knapweedpulley.Holds(r.Models, o.Resident) {
			continue
		}
		model, known := spec.Models[o.Model]
		switch o.Kind {
		case knapweedpulley.OrderLoadModel:
			if !known {
				model.Size = largestModel(spec, r.Models)
			}
			worst.memory = max(worst.memory, model.Size)
		case knapweedpulley.OrderLoadAdapter:
			worst.memory, worst.slots = max(worst.memory, model.AdapterSize), 1
		case knapweedpulley.OrderUnloadModel, knapweedpulley.OrderUnloadAdapter:
		}
	}
	return worst, found
}

// largestModel returns the size of the largest model that is not among those held.
func largestModel(spec *knapweedpulley.EngineSpec, held []knapweedpulley.LoadedModel) knapweedpulley.Bytes {
	var largest knapweedpulley.Bytes
	for id, m := range spec.Models {
		if !knapweedpulley.Holds(held, knapweedpulley.Resident{Model: id}) {
			largest = max(largest, m.Size)
		}
	}
	return largest
}
