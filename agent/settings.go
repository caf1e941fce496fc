package agent

import (
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/certificate"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

const (
	defaultMaxQueued   = 256
	defaultSlots       = 64
	defaultStatePeriod = 500 * time.Millisecond
	defaultLease       = 3 * time.Second
)

// Settings holds the contents of an agent's settings file.
type Settings struct {
	Endpoint knapweedpulley.EndpointID `json:"endpoint"`
	Machine  knapweedpulley.MachineID  `json:"machine"`
	Zone     knapweedpulley.ZoneID     `json:"zone"`
	Region   knapweedpulley.RegionID   `json:"region"`
	// Listen is the host and port on which entries connect. The process that holds it has the
	// exclusive right to send orders to the engine.
	Listen string `json:"listen"`
	// Exactly one of Engine and Services is set.
	Engine   *EngineSettings   `json:"engine,omitempty"`
	Services []ServiceSettings `json:"services,omitempty"`
	Queue    QueueSettings     `json:"queue"`
	// StatePeriod is the time between two reads of the engine's state.
	StatePeriod settings.Duration `json:"statePeriod"`
	// Lease is the time after which no order that an entry decided before the start of this
	// agent can still arrive.
	Lease settings.Duration `json:"lease"`
	// Metrics is the address on which metrics are served; empty disables them.
	Metrics string `json:"metrics,omitempty"`
	// TLS names the files of the agent's certificate and key and of the certificate authority.
	TLS certificate.Settings `json:"tls"`
	// MemoryMB is the memory that the process may use, in millions of bytes, and MaxFDs the number of
	// descriptors that it may open. Zero stands for what the machine has.
	MemoryMB int64 `json:"memoryMb,omitempty"`
	MaxFDs   int   `json:"maxFds,omitempty"`
	// LogLevel is debug, info, warn or error; empty stands for info.
	LogLevel string `json:"logLevel,omitempty"`
}

// EngineSettings describes the model engine beside the agent.
type EngineSettings struct {
	URL string `json:"url"`
	// Memory is the accelerator memory; zero takes what the engine reports.
	Memory knapweedpulley.Bytes `json:"memory"`
	// ChecksFencing says that the engine refuses orders with an old fencing token.
	ChecksFencing bool `json:"checksFencing"`
}

// ServiceSettings describes a plain service beside the agent.
type ServiceSettings struct {
	Route knapweedpulley.RouteID `json:"route"`
	URL   string                 `json:"url"`
}

// QueueSettings bounds the queued and running requests of an agent.
type QueueSettings struct {
	// MaxQueued bounds the number of waiting requests.
	MaxQueued int `json:"maxQueued"`
	// Slots bounds the number of requests that run at once; zero uses what the engine reports.
	Slots int `json:"slots"`
}

// Check implements knapweedpulley.Checker. It also sets the defaults.
func (s *Settings) Check(f knapweedpulley.FieldErrors) {
	s.TLS.Check(f.In("tls"))
	settings.CheckResources(f, s.MemoryMB, s.MaxFDs)
	settings.CheckLogLevel(f, "logLevel", s.LogLevel)
	if s.Metrics != "" {
		f.Address("metrics", s.Metrics)
	}
	s.setDefaults()
	f.Required("endpoint", string(s.Endpoint))
	f.Required("machine", string(s.Machine))
	f.Required("zone", string(s.Zone))
	f.Address("listen", s.Listen)
	f.Positive("statePeriod", time.Duration(s.StatePeriod).Seconds())
	f.Positive("lease", time.Duration(s.Lease).Seconds())
	f.Positive("queue.maxQueued", float64(s.Queue.MaxQueued))
	if s.Queue.Slots < 0 {
		f.Addf("queue.slots", s.Queue.Slots, "must not be below 0")
	}
	if (s.Engine == nil) == (len(s.Services) == 0) {
		f.Addf("engine", "", "exactly one of engine and services must be given")
	}
	if s.Engine != nil {
		f.In("engine").Required("url", s.Engine.URL)
		if s.Engine.Memory < 0 {
			f.Addf("engine.memory", int64(s.Engine.Memory), "must not be below 0")
		}
	}
	for i, v := range s.Services {
		f.In("services[%d]", i).Required("route", string(v.Route))
		f.In("services[%d]", i).Required("url", v.URL)
	}
}

func (s *Settings) setDefaults() {
	if s.Queue.MaxQueued == 0 {
		s.Queue.MaxQueued = defaultMaxQueued
	}
	if s.Queue.Slots == 0 && s.Engine == nil {
		s.Queue.Slots = defaultSlots
	}
	if s.StatePeriod == 0 {
		s.StatePeriod = settings.Duration(defaultStatePeriod)
	}
	if s.Lease == 0 {
		s.Lease = settings.Duration(defaultLease)
	}
}
