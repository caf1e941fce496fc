package main

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/store"
)

// Settings configures a gateway.
type Settings struct {
	ID   string                `json:"id"`
	Zone knapweedpulley.ZoneID `json:"zone"`
	// Callers and Ready are where callers and the platform's balancer connect.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	// Links is where the other gateways connect.
	Links string `json:"links"`
	// Metrics is where the metrics are read.
	Metrics string `json:"metrics"`
	// KeeperPort is the port of the keepers on all machines with an engine.
	KeeperPort int            `json:"keeperPort"`
	Store      store.Settings `json:"store"`
	// Grace is the time from SIGTERM to SIGKILL.
	Grace settings.Duration `json:"grace"`
	// RepeatSlack bounds, beside a part of the requests, how many are sent once
	// more, over all gateways.
	RepeatSlack float64 `json:"repeatSlack"`
	// Gateways is how many there are until a keeper tells: rather too many, as
	// each takes an equal part of what all have together.
	Gateways int `json:"gateways"`
	// RemoteLoads is how many loads from the weight store run at once at full
	// speed.
	RemoteLoads int `json:"remoteLoads"`
	// MemoryMB is the memory that the machine allows, in millions of bytes.
	MemoryMB int64  `json:"memoryMb"`
	LogLevel string `json:"logLevel"`
}

// Check implements knapweedpulley.Checked.
func (s *Settings) Check(f knapweedpulley.FaultList) {
	f.Required("id", s.ID)
	f.Required("zone", string(s.Zone))
	f.Address("callers", s.Callers)
	f.Address("ready", s.Ready)
	f.Address("links", s.Links)
	f.Address("metrics", s.Metrics)
	f.Positive("keeperPort", float64(s.KeeperPort))
	s.Store.Check(f.In("store"))
	if time.Duration(s.Grace) < leastGrace {
		f.Addf("grace", time.Duration(s.Grace), "must be at least %s", leastGrace)
	}
	f.Positive("repeatSlack", s.RepeatSlack)
	f.Positive("gateways", float64(s.Gateways))
	f.Positive("remoteLoads", float64(s.RemoteLoads))
	f.Positive("memoryMb", float64(s.MemoryMB))
	settings.CheckLogLevel(f, "logLevel", s.LogLevel)
}
