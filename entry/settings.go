package entry

import (
	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/admin"
	"github.com/knapweedpulley/knapweedpulley/certificate"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/store"
	"github.com/knapweedpulley/knapweedpulley/zone"
)

// Settings configures an entry process.
type Settings struct {
	ID      knapweedpulley.EntryID   `json:"id"`
	Machine knapweedpulley.MachineID `json:"machine"`
	Zone    knapweedpulley.ZoneID    `json:"zone"`
	Region  knapweedpulley.RegionID  `json:"region"`
	// Listen is the address where callers connect.
	Listen string `json:"listen"`
	// Admin is the address of the admin API and the metrics.
	Admin string `json:"admin"`
	// Link is the address where the other entries connect.
	Link string `json:"link"`
	// Store is the platform's object store.
	Store store.Settings `json:"store"`
	// Machines is the platform's list of VMs.
	Machines store.Settings `json:"machines"`
	// Distances lists the round-trip times between zones.
	Distances []zone.Distance `json:"distances"`
	// Operators lists the operators and the hashes of their keys.
	Operators admin.Operators `json:"operators"`
	// TLS names the certificates for the other processes and for the admin API.
	TLS certificate.Settings `json:"tls"`
	// MemoryMB is the memory that the process may use, in millions of bytes, and MaxFDs the number of
	// descriptors that it may open. Zero stands for what the machine has.
	MemoryMB int64 `json:"memoryMb,omitempty"`
	MaxFDs   int   `json:"maxFds,omitempty"`
	// LogLevel is debug, info, warn or error; empty stands for info.
	LogLevel string `json:"logLevel"`
}

// Check implements knapweedpulley.Checker.
func (s *Settings) Check(f knapweedpulley.FieldErrors) {
	f.Required("id", string(s.ID))
	f.Required("machine", string(s.Machine))
	f.Required("zone", string(s.Zone))
	f.Address("listen", s.Listen)
	f.Address("admin", s.Admin)
	f.Address("link", s.Link)
	s.Store.Check(f.In("store"))
	s.Machines.Check(f.In("machines"))
	s.Operators.Check(f)
	s.TLS.Check(f.In("tls"))
	settings.CheckResources(f, s.MemoryMB, s.MaxFDs)
	settings.CheckLogLevel(f, "logLevel", s.LogLevel)
}
