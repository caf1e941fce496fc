package program

import (
	"net/http"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/standin/engine"
	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/machines"
	"github.com/knapweedpulley/knapweedpulley/standin/objects"
	"github.com/knapweedpulley/knapweedpulley/standin/record"
	"github.com/knapweedpulley/knapweedpulley/standin/service"
	"github.com/knapweedpulley/knapweedpulley/standin/weights"
)

// objectStoreSettings are the settings of the object store.
type objectStoreSettings struct {
	// History bounds the changes per kind that are kept for watches.
	History int `json:"history"`
}

// Check implements knapweedpulley.Checker.
func (s *objectStoreSettings) Check(f knapweedpulley.FieldErrors) {
	f.Positive("history", float64(s.History))
}

// machineListSettings are the settings of the list of VMs.
type machineListSettings struct {
	Lag      settings.Duration  `json:"lag"`
	Machines []machines.Machine `json:"machines"`
}

// Check implements knapweedpulley.Checker.
func (s *machineListSettings) Check(f knapweedpulley.FieldErrors) {
	for i, m := range s.Machines {
		f.In("machines[%d]", i).Required("id", string(m.ID))
	}
}

// serviceSettings are the settings of a plain service.
type serviceSettings struct {
	// RecordLimit bounds the recorded bytes of received requests.
	RecordLimit int `json:"recordLimit"`
}

// Check implements knapweedpulley.Checker.
func (s *serviceSettings) Check(f knapweedpulley.FieldErrors) {
	f.Positive("recordLimit", float64(s.RecordLimit))
}

func noCleanup() {}

// commands returns the subcommands of all stand-ins, with their default settings.
func commands() []*command {
	return []*command{objectStore(), machineList(), weightStore(), modelEngine(), plainService()}
}

func objectStore() *command {
	s := &objectStoreSettings{History: objects.DefaultHistory}
	return &command{
		name: "objectStore", description: "object API with conditional writes and watches", settings: s,
		build: func() (http.Handler, knapweedpulley.Cleanup) {
			return objects.NewHandler(objects.NewStore(s.History), fault.NewInjector()), noCleanup
		},
	}
}

func machineList() *command {
	s := &machineListSettings{}
	return &command{
		name: "machineList", description: "list of VMs that lags", settings: s,
		build: func() (http.Handler, knapweedpulley.Cleanup) {
			list := machines.NewList()
			for _, m := range s.Machines {
				list.Put(m)
			}
			list.SetLag(time.Duration(s.Lag))
			return machines.NewHandler(list, fault.NewInjector()), noCleanup
		},
	}
}

func weightStore() *command {
	s := weights.DefaultPace()
	return &command{
		name: "weightStore", description: "weight store that limits loads", settings: &s,
		build: func() (http.Handler, knapweedpulley.Cleanup) {
			return weights.NewHandler(weights.NewStore(s), fault.NewInjector()), noCleanup
		},
	}
}

func modelEngine() *command {
	s := engine.DefaultSettings()
	return &command{
		name: "engine", description: "model engine", settings: &s,
		build: func() (http.Handler, knapweedpulley.Cleanup) {
			e, cleanup := engine.NewEngine(s, engine.NewFetch(s.WeightStore))
			return engine.NewHandler(e, fault.NewInjector()), cleanup
		},
	}
}

func plainService() *command {
	s := &serviceSettings{RecordLimit: record.DefaultLimit}
	return &command{
		name: "service", description: "plain service that books each call", settings: s,
		build: func() (http.Handler, knapweedpulley.Cleanup) {
			return service.NewHandler(service.NewService(s.RecordLimit), fault.NewInjector()), noCleanup
		},
	}
}
