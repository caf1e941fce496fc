package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	// crashLimit is the number of crashes after which a part of a prompt has to be known as deadly, and
	// deadlyRequestLimit the number of requests with it that may reach engines afterwards.
	crashLimit         = 5
	deadlyRequestLimit = 3
	// entryLifetime is how long the entry of an endpoint stays in the store without heartbeats.
	entryLifetime = 3 * heartbeatInterval
	// minSample is the number of requests from which on shares of served requests are compared.
	minSample = 20
)

// deadlyPart is a part of prompts that crashes each engine that begins an answer on it.
type deadlyPart struct {
	id          string
	active      bool
	began, over time.Time
	crashes     []time.Time
	arrivals    []arrival
}

// arrival is a request with a deadly part that reached an engine.
type arrival struct {
	request string
	at      time.Time
}

// SetDeadlyPart makes a part of prompts deadly until EndDeadlyPart is called.
func (r *Recorder) SetDeadlyPart(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadly = deadlyPart{id: id, active: true, began: time.Now()}
}

// EndDeadlyPart makes the part harmless.
func (r *Recorder) EndDeadlyPart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadly.active, r.deadly.over = false, time.Now()
}

// DeadlyPart returns the part that is deadly now, or nothing.
func (r *Recorder) DeadlyPart() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.deadly.active {
		return ""
	}
	return r.deadly.id
}

// recordArrival reports whether a request has the deadly part, and records its arrival if so.
func (r *Recorder) recordArrival(request, prompt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.deadly.active || !strings.Contains(prompt, r.deadly.id+":") {
		return false
	}
	r.deadly.arrivals = append(r.deadly.arrivals, arrival{request: request, at: time.Now()})
	return true
}

func (r *Recorder) recordCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadly.crashes = append(r.deadly.crashes, time.Now())
}

// crashForAWhile crashes the endpoint and starts it again, with the same or a new id. Without
// heartbeats, its entry leaves the store after entryLifetime.
func (e *Endpoint) crashForAWhile(request string) {
	e.recorder.recordCrash()
	e.mu.Lock()
	id := e.id
	err := e.end()
	e.mu.Unlock()
	e.proxy.Reset()
	if err != nil {
		e.recorder.RecordViolation("failed to crash an endpoint: %v", err)
	}
	random := e.choices(Silent, request, "crash")
	keepID, back := random.IntN(2) == 0, time.Second+time.Duration(random.Int64N(int64(2*time.Second)))
	time.AfterFunc(entryLifetime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.id == id && e.running {
			return
		}
		if err := e.store.Delete(knapweedpulley.KindEndpoints, id); err != nil {
			e.recorder.RecordViolation("failed to delete the entry of an endpoint: %v", err)
		}
	})
	time.AfterFunc(back, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.closed || e.id != id {
			return
		}
		if err := e.start(keepID); err != nil {
			e.recorder.RecordViolation("failed to start an endpoint: %v", err)
		}
	})
}

// promptParts returns the prompt of a request to a model: a part that all share, one of the model or
// the deadly part, and one of the request.
func promptParts(o *Outcome, model, deadly string, random *rand.Rand) string {
	middle := "b" + strings.TrimPrefix(model, "m")
	if random.IntN(6) == 0 && deadly != "" {
		o.Deadly, middle = true, deadly
	}
	return "a0:60," + middle + ":30," + strings.ReplaceAll(strings.TrimPrefix(o.ID, "r-"), "-", "f") + ":10"
}

// checkDeadlyPart checks that few requests with a deadly part reach engines once it has to be known,
// and that other requests go on being served. Both apply to gateways that were in touch.
func checkDeadlyPart(cluster *Cluster, outcomes []Outcome) {
	cluster.recorder.mu.Lock()
	d := cluster.recorder.deadly
	cluster.recorder.mu.Unlock()
	if len(d.crashes) == 0 {
		return
	}
	inTouch := make(map[string]Outcome)
	for _, o := range outcomes {
		if o.InTouch {
			inTouch[o.ID] = o
		}
	}
	checkDeadlyArrivals(cluster, d, inTouch)
	known := d.crashes[min(crashLimit, len(d.crashes))-1].Add(2 * recoveryTime)
	during := countServed(cluster, inTouch, func(at time.Time) bool { return at.After(known) && at.Before(d.over) })
	outside := countServed(cluster, inTouch, func(at time.Time) bool {
		return at.Before(d.began) || at.After(d.over.Add(recoveryTime))
	})
	if min(during.sent, outside.sent) >= minSample && during.share() < outside.share()/2 {
		cluster.recorder.RecordViolation("%d of %d sound requests were served beside a deadly part, and %d of %d otherwise",
			during.served, during.sent, outside.served, outside.sent)
	}
}

func checkDeadlyArrivals(cluster *Cluster, d deadlyPart, inTouch map[string]Outcome) {
	if len(d.crashes) < crashLimit {
		return
	}
	late := slices.DeleteFunc(slices.Clone(d.arrivals), func(a arrival) bool {
		_, found := inTouch[a.request]
		return !found || a.at.Sub(d.crashes[crashLimit-1]) <= recoveryTime
	})
	if len(late) > deadlyRequestLimit {
		cluster.recorder.RecordViolation("%d requests with a deadly part reached engines later than %s after crash %d of %d, want at most %d: %v",
			len(late), recoveryTime, crashLimit, len(d.crashes), deadlyRequestLimit, late)
	}
}

// servedCount counts requests and those of them that were served.
type servedCount struct {
	sent, served int
}

func (c servedCount) share() float64 {
	return float64(c.served) / float64(c.sent)
}

// countServed counts the sound requests to engines that were sent at a time that counts.
func countServed(cluster *Cluster, outcomes map[string]Outcome, counts func(sent time.Time) bool) servedCount {
	var c servedCount
	for _, o := range outcomes {
		_, withdrawn := cluster.WithdrawnAt(o.Key)
		if o.Deadly || withdrawn || isCold(o.Model) || (o.Kind != Stream && o.Kind != Once) || !counts(o.Sent) {
			continue
		}
		c.sent++
		if o.Status == http.StatusOK && o.Complete {
			c.served++
		}
	}
	return c
}
