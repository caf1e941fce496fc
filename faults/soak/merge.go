package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// firm is the customer of most callers. The other customers are merged into it.
	firm = "firm"
	// coldModelPrefix begins the names of the models that are loaded for waiting requests only.
	// coldModelCount is their number, and coldLoadTime is how long an engine loads one.
	coldModelPrefix = "cold-"
	coldModelCount  = 8
	coldLoadTime    = 1200 * time.Millisecond
	// maxMergeDelay bounds the time between the first requests for a model and the merger, and
	// waiterRepeatTime that in which requests that were refused are followed by others.
	maxMergeDelay    = 400 * time.Millisecond
	waiterRepeatTime = time.Second
	waiterPause      = 20 * time.Millisecond
	// waitersPerGateway is the number of requests that wait for a model at each gateway.
	waitersPerGateway = 3
	// witnessPause is the time between the requests that show whether a gateway knows of a merger.
	witnessPause = 100 * time.Millisecond
	// witnessTolerance is the time within which a request may reach its endpoint that was sent there
	// before its gateway learned of a merger.
	witnessTolerance = 500 * time.Millisecond
	// maxMergePause bounds the time between two mergers.
	maxMergePause = 2 * time.Second
)

// holding is the time in which a customer holds a key, until the next one does.
type holding struct {
	customer string
	// from is before the write of the configuration, confirmed after it. Confirmed is zero if the
	// store has not confirmed it.
	from, confirmed time.Time
}

// setHolder gives a key that is not one of the keys of WithdrawKey to a customer.
func (c *Cluster) setHolder(key, customer string) error {
	c.mu.Lock()
	c.holders[key] = append(c.holders[key], holding{customer: customer, from: time.Now()})
	c.mu.Unlock()
	if err := c.WriteConfiguration(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders[key][len(c.holders[key])-1].confirmed = time.Now()
	return nil
}

// holdersOf returns the customers that have held a key, the first one first.
func (c *Cluster) holdersOf(key string) []holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	if list := c.holders[key]; len(list) > 0 {
		return slices.Clone(list)
	}
	return []holding{{customer: firm}}
}

// customers returns the customers with their keys as in the configuration. The mutex must be held.
func (c *Cluster) customers() []map[string]any {
	keys := map[string][]string{firm: slices.Clone(c.keys)}
	for key, list := range c.holders {
		customer := list[len(list)-1].customer
		keys[customer] = append(keys[customer], key)
	}
	list := make([]map[string]any, 0, len(keys))
	for _, customer := range slices.Sorted(maps.Keys(keys)) {
		list = append(list, map[string]any{"name": customer, "apiKeys": slices.Sorted(slices.Values(keys[customer]))})
	}
	return list
}

// MergeCustomer adds a customer, and merges it into firm while requests with its key wait for a model
// at each gateway. It returns the outcomes of its requests.
func MergeCustomer(cluster *Cluster, random *rand.Rand) ([]Outcome, error) {
	cluster.mu.Lock()
	n := len(cluster.holders)
	cluster.mu.Unlock()
	key := fmt.Sprint("branch-key-", n)
	wait, delay := time.Duration(random.Int64N(int64(configurationLimit))), time.Duration(random.Int64N(int64(maxMergeDelay)))
	if err := cluster.setHolder(key, fmt.Sprint("branch-", n)); err != nil {
		return nil, err
	}
	time.Sleep(wait)
	calls := NewCallers(cluster)
	var waiters, witnesses sync.WaitGroup
	repeatUntil := time.Now().Add(waiterRepeatTime)
	for i, g := range cluster.gateways {
		for j := range waitersPerGateway {
			o := Outcome{Kind: Stream, Key: key, Gateway: g, Timeout: longTimeout, Model: fmt.Sprint(coldModelPrefix, n%coldModelCount)}
			seed := random.Uint64()
			waiters.Go(func() { calls.callUntilServed(o, fmt.Sprintf("r-merge-%d-%d-%d", n, i, j), seed, repeatUntil) })
		}
	}
	time.Sleep(delay)
	err := cluster.setHolder(key, firm)
	done := make(chan struct{})
	for i, g := range cluster.gateways {
		witnesses.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-done:
					return
				case <-time.After(witnessPause):
				}
				calls.callNow(Outcome{ID: fmt.Sprintf("r-witness-%d-%d-%d", n, i, j), Kind: Safe, Key: key, Gateway: g, Timeout: shortTimeout})
			}
		})
	}
	waiters.Wait()
	close(done)
	witnesses.Wait()
	return calls.Outcomes(), err
}

// callUntilServed sends a request, and others like it until a time while they are refused.
func (c *Callers) callUntilServed(o Outcome, id string, seed uint64, until time.Time) {
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // It needs no secrecy.
	for n := 0; n == 0 || time.Now().Before(until); n++ {
		o.ID = fmt.Sprint(id, "-", n)
		o.Prompt = promptParts(&o, "m0", "", random)
		if c.callNow(o) == http.StatusOK {
			return
		}
		time.Sleep(waiterPause)
	}
}

// callNow sends a request over a connection of its own, records its outcome and returns the status.
func (c *Callers) callNow(o Outcome) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	o.Sent, o.UndisturbedAtStart = time.Now(), c.cluster.UndisturbedFor(o.Gateway)
	c.cluster.send(client, &o, o.Model)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	return o.Status
}

// gatewayKey is a key as used at a gateway.
type gatewayKey struct {
	gateway *Gateway
	key     string
}

// firstRuns returns when a request with a key first ran for the last holder of the key, for each
// gateway that has sent one.
func firstRuns(cluster *Cluster, outcomes []Outcome) map[gatewayKey]time.Time {
	first := make(map[gatewayKey]time.Time)
	for _, o := range outcomes {
		holders := cluster.holdersOf(o.Key)
		for _, r := range cluster.recorder.Runs(o.ID) {
			id := gatewayKey{o.Gateway, o.Key}
			at, known := first[id]
			if r.Customer == holders[len(holders)-1].customer && (!known || r.StartedAt.Before(at)) {
				first[id] = r.StartedAt
			}
		}
	}
	return first
}

// checkCustomer checks that each run of a request is for a customer that holds its key, and not for
// one that has ceased to hold it, as far as its gateway has to know that or is seen to know it.
func checkCustomer(cluster *Cluster, o Outcome, firstRuns map[gatewayKey]time.Time) {
	holders := cluster.holdersOf(o.Key)
	for _, r := range cluster.recorder.Runs(o.ID) {
		n := slices.IndexFunc(holders, func(h holding) bool { return h.customer == r.Customer && !h.from.After(r.StartedAt) })
		if n < 0 || r.Key != "" {
			cluster.recorder.RecordViolation("request %s ran with customer %q and key %q, want no key and a customer of %v", o.ID, r.Customer, r.Key, holders)
			continue
		}
		if n == len(holders)-1 {
			continue
		}
		next := holders[n+1]
		if late := r.StartedAt.Sub(next.confirmed); !next.confirmed.IsZero() && late > configurationLimit && o.UndisturbedAtEnd > o.Elapsed+recoveryTime {
			cluster.recorder.RecordViolation("request %s ran for %s, %s after %s was confirmed to hold its key", o.ID, r.Customer, late, next.customer)
		}
		seen, known := firstRuns[gatewayKey{o.Gateway, o.Key}]
		late := r.StartedAt.Sub(seen)
		if known && late > witnessTolerance && o.PathUndisturbedAtEnd > o.Elapsed+max(0, o.Sent.Sub(seen)) {
			cluster.recorder.RecordViolation("request %s ran for %s, %s after %s had sent another one with its key for %s",
				o.ID, r.Customer, late, o.Gateway.name, next.customer)
		}
	}
}

// isCold reports whether a model is loaded for waiting requests only.
func isCold(model string) bool {
	return strings.HasPrefix(model, coldModelPrefix)
}

// mergeCustomers merges customers one after another until ctx ends.
func (i *Injector) mergeCustomers(ctx context.Context) {
	for {
		time.Sleep(time.Duration(i.mergeRandom.Int64N(int64(maxMergePause))))
		if ctx.Err() != nil {
			return
		}
		outcomes, err := MergeCustomer(i.cluster, i.mergeRandom)
		if err != nil {
			i.cluster.recorder.RecordViolation("failed to merge a customer: %v", err)
		}
		i.mu.Lock()
		i.counts["customer merged"]++
		i.outcomes = append(i.outcomes, outcomes...)
		i.mu.Unlock()
	}
}
