package traffic

import (
	"context"
	"net/http"
	"sync"

	"github.com/knapweedpulley/knapweedpulley/cmd/demo/fleet"
)

const (
	// idleModels is the number of models of each customer that are loaded one after
	// the other.
	idleModels = 4
	// loadedModelRequests is the number of requests that each customer sends to a
	// loaded model.
	loadedModelRequests = 10
	// burstRequests is the number of concurrent requests for one idle model.
	burstRequests = 4
	// requestsPerKind is the number of requests of most other kinds that each customer
	// sends, to each of its routes if the kind is a call of a plain service.
	requestsPerKind = 3
)

// Run sends the traffic to one deployment and checks the results.
type Run struct {
	fleet      *fleet.Fleet
	tally      *Tally
	singleRuns *singleRunList
	callers    []*caller
}

// NewRun returns a run for the customers of a fleet that adds its results to tally.
func NewRun(f *fleet.Fleet, tally *Tally) *Run {
	r := &Run{fleet: f, tally: tally, singleRuns: &singleRunList{}}
	for _, c := range f.Customers {
		r.callers = append(r.callers, &caller{
			deployment: f.Deployment.Name,
			customer:   c,
			entries:    f.Entries,
			client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: burstRequests}},
			tally:      tally,
			singleRuns: r.singleRuns,
		})
	}
	return r
}

// Send sends all requests, those of different customers concurrently, and then checks
// what the back ends have received. It returns when all requests have ended.
func (r *Run) Send(ctx context.Context) {
	var group sync.WaitGroup
	for _, c := range r.callers {
		group.Go(func() {
			defer c.client.CloseIdleConnections()
			c.sendToIdleModels(ctx)
			c.sendToLoadedModel(ctx)
			c.sendToAdapters(ctx)
			c.sendServices(ctx)
			c.sendInvalid(ctx)
		})
	}
	group.Wait()
	r.checkBackEnds(ctx)
}

// model returns the i-th model of the customer, modulo the number of models.
func (c *caller) model(i int) string {
	models := c.customer.Template.Models
	return string(models[i%len(models)].ID)
}

// sendToIdleModels sends requests for idle models, first one for each of several models,
// then concurrent ones for one more model.
func (c *caller) sendToIdleModels(ctx context.Context) {
	for i := range idleModels {
		c.sendChat(ctx, i, "chat, idle model", c.model(i), i%2 == 1)
	}
	var group sync.WaitGroup
	for i := range burstRequests {
		group.Go(func() { c.sendChat(ctx, i, "chat, idle model, burst", c.model(idleModels), i%2 == 1) })
	}
	group.Wait()
}

// sendToLoadedModel sends requests for the model that was loaded last.
func (c *caller) sendToLoadedModel(ctx context.Context) {
	for i := range loadedModelRequests {
		c.sendChat(ctx, i, "chat, loaded model", c.model(idleModels), i%2 == 1)
	}
}

// sendToAdapters sends requests for the customer's adapters in turn.
func (c *caller) sendToAdapters(ctx context.Context) {
	adapters := c.customer.Template.Adapters
	for i := range 2 * requestsPerKind {
		c.sendChat(ctx, i, "chat, adapter", string(adapters[i%len(adapters)].ID), i%2 == 1)
	}
}
