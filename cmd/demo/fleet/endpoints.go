package fleet

import (
	"context"
	"fmt"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/standin/engine"
)

// serviceSettings are the settings of the stand-in for a plain service.
type serviceSettings struct {
	RecordLimit int `json:"recordLimit"`
}

const (
	// recordLimit bounds the bytes that a back end keeps of the requests it received.
	recordLimit = 32 << 20
	// engineMemory is the memory of an engine. Only a few models fit at once, so idle
	// ones have to be evicted.
	engineMemory = 60 * knapweedpulley.GiB
)

// startEndpoints starts the engines and plain services, then their agents, and waits
// until all of them answer.
func (f *Fleet) startEndpoints(ctx context.Context) error {
	urls := make([]string, 0, len(f.Endpoints))
	for i, e := range f.Endpoints {
		if err := f.startBackEnd(i, e); err != nil {
			return err
		}
		urls = append(urls, fmt.Sprintf("http://%s/seen?brief", e.Back))
	}
	if err := waitForAll(ctx, urls); err != nil {
		return err
	}
	for _, e := range f.Endpoints {
		if err := f.startAgent(e); err != nil {
			return err
		}
	}
	for _, e := range f.Endpoints {
		if err := waitForListener(ctx, e.Agent); err != nil {
			return err
		}
	}
	return nil
}

// startBackEnd starts the engine or plain service of the i-th endpoint.
func (f *Fleet) startBackEnd(i int, e Endpoint) error {
	if e.Plain {
		programSettings := serviceSettings{RecordLimit: recordLimit}
		return f.processes.start(string(e.ID), "standin", programSettings, "service", "--listen", e.Back)
	}
	s := engine.DefaultSettings()
	s.Memory = engineMemory
	s.RecordLimit = recordLimit
	s.WeightStore = "http://" + f.platform.weights
	// Every second engine checks the fencing tokens of orders, so that the demo runs
	// with both kinds.
	s.CheckTokens = i%2 == 0
	return f.processes.start(string(e.ID), "standin", s, "engine", "--listen", e.Back)
}

// routes returns the routes of all customers' templates, each once.
func (f *Fleet) routes() []knapweedpulley.RouteID {
	var list []knapweedpulley.RouteID
	seen := knapweedpulley.NewSet[knapweedpulley.RouteID]()
	for _, c := range f.Customers {
		for _, r := range c.Template.Routes {
			if !seen.Has(r.ID) {
				seen.Add(r.ID)
				list = append(list, r.ID)
			}
		}
	}
	return list
}
