package main

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/store"
)

// defaultRepeatsPerGateway is the number of retries allowed for each gateway on a platform that sets no limit.
// The retry budget uses only a fraction of the limit, of which a gateway needs one retry at least.
const defaultRepeatsPerGateway = 3

// Settings is the configuration of a gateway process.
type Settings struct {
	ID   string                `json:"id"`
	Zone knapweedpulley.ZoneID `json:"zone"`
	// Callers and Ready are the addresses on which callers and the readiness probes of the
	// platform's load balancer are served.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	// Links is the address on which the other gateways are served.
	Links string `json:"links"`
	// Metrics is the address on which metrics are served.
	Metrics string `json:"metrics"`
	// KeeperPort is the port of the keepers; it is the same on all machines with an engine.
	KeeperPort int            `json:"keeperPort"`
	Store      store.Settings `json:"store"`
	// Grace is the time from SIGTERM to SIGKILL.
	Grace settings.Duration `json:"grace"`
	// RepeatSlack is the number of retries that are allowed over all gateways in addition to a
	// fraction of the requests. Zero stands for defaultRepeatsPerGateway.
	RepeatSlack float64 `json:"repeatSlack"`
	// Gateways is the number of gateways to assume until a keeper reports it. Set it rather too
	// high, because each gateway takes an equal part of the shared rates and budgets.
	Gateways int `json:"gateways"`
	// RemoteLoads is the number of concurrent loads from the weight store that still run at full
	// speed.
	RemoteLoads int `json:"remoteLoads"`
	// EvacuationTime is the time within which an availability zone that the operator evacuates gets no
	// more requests. Evacuated zones are followed only if it is above zero.
	EvacuationTime settings.Duration `json:"evacuationTime"`
	// MemoryMB is the memory that the process may use, in millions of bytes.
	MemoryMB int64 `json:"memoryMb"`
	// MaxFDs is the number of descriptors that the process may open. Zero stands for the limit that the
	// system sets.
	MaxFDs int `json:"maxFds"`
	// Contracts lists the rules of the platform that the gateway has to keep beside the usual ones.
	Contracts []string `json:"contracts"`
	LogLevel  string   `json:"logLevel"`
}

// Flags implements knapweedpulley.FlagSettings. The flags are those of the fields that not every
// platform has.
func (s *Settings) Flags() []knapweedpulley.SettingFlag {
	return []knapweedpulley.SettingFlag{
		{
			Name: "contracts", Description: "rules of the platform to keep beside the usual ones, separated by commas",
			Set: func(value string, _ knapweedpulley.FieldErrors) { s.Contracts = strings.Split(value, ",") },
		},
		{
			Name: "evacuation-ms", Description: "milliseconds within which an evacuated availability zone gets no more requests",
			Set: func(value string, f knapweedpulley.FieldErrors) {
				d, err := time.ParseDuration(value + "ms")
				if err != nil {
					f.Addf("--evacuation-ms", value, "must be a number of milliseconds")
				}
				s.EvacuationTime = settings.Duration(d)
			},
		},
		{
			Name: "repeat-slack", Description: "retries that are allowed over all gateways beside a fraction of the requests",
			Set: func(value string, f knapweedpulley.FieldErrors) {
				n, err := strconv.ParseFloat(value, 64)
				if err != nil {
					f.Addf("--repeat-slack", value, "must be a number")
				}
				s.RepeatSlack = n
			},
		},
		{
			Name: "max-fds", Description: "descriptors that the process may open",
			Set: func(value string, f knapweedpulley.FieldErrors) {
				n, err := strconv.Atoi(value)
				if err != nil {
					f.Addf("--max-fds", value, "must be a whole number")
				}
				s.MaxFDs = n
			},
		},
	}
}

// Check implements knapweedpulley.Checker.
func (s *Settings) Check(f knapweedpulley.FieldErrors) {
	f.Required("id", s.ID)
	f.Required("zone", string(s.Zone))
	f.Address("callers", s.Callers)
	f.Address("ready", s.Ready)
	f.Address("links", s.Links)
	f.Address("metrics", s.Metrics)
	f.Positive("keeperPort", float64(s.KeeperPort))
	s.Store.Check(f.In("store"))
	if time.Duration(s.Grace) < minGrace {
		f.Addf("grace", time.Duration(s.Grace), "must be at least %s", minGrace)
	}
	if s.RepeatSlack < 0 || math.IsNaN(s.RepeatSlack) || math.IsInf(s.RepeatSlack, 0) {
		f.Addf("repeatSlack", s.RepeatSlack, "must be a finite number of at least 0")
	}
	f.Positive("gateways", float64(s.Gateways))
	f.Positive("remoteLoads", float64(s.RemoteLoads))
	if s.EvacuationTime < 0 {
		f.Addf("evacuationTime", time.Duration(s.EvacuationTime), "must not be negative")
	}
	f.Positive("memoryMb", float64(s.MemoryMB))
	settings.CheckResources(f, s.MemoryMB, s.MaxFDs)
	settings.CheckLogLevel(f, "logLevel", s.LogLevel)
}

// repeatLimit returns the number of retries that are allowed over all gateways in addition to a
// fraction of the requests.
func (s *Settings) repeatLimit() float64 {
	if s.RepeatSlack > 0 {
		return s.RepeatSlack
	}
	return float64(defaultRepeatsPerGateway * s.Gateways)
}
