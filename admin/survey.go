package admin

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
)

// surveyTimeout bounds the wait for the report of one entry.
const surveyTimeout = 2 * time.Second

// EntryStatus lists the versions in force at one entry process.
type EntryStatus struct {
	Entry   knapweedpulley.EntryID `json:"entry"`
	Zone    knapweedpulley.ZoneID  `json:"zone"`
	Address string                 `json:"address"`
	// Reachable is false if the entry sent no report.
	Reachable bool `json:"reachable"`
	// Age is the maximum age of the content.
	Age       settings.Duration `json:"age"`
	Customers []CustomerStatus  `json:"customers"`
}

// CustomerStatus is the version of a customer that is in force at an entry.
type CustomerStatus struct {
	Customer knapweedpulley.CustomerID `json:"customer"`
	Version  knapweedpulley.Version    `json:"version"`
	// Behind is set if another entry has a later version.
	Behind bool `json:"behind,omitempty"`
}

// Status lists the versions in force at all entry processes.
type Status struct {
	Entries []EntryStatus `json:"entries"`
	// Uniform is set if all entries sent a report and have the same versions in force.
	Uniform bool `json:"uniform"`
}

// Survey queries the entry processes for the versions in force.
type Survey struct {
	members knapweedpulley.PeerList
	link    knapweedpulley.ConfigurationLink
}

// NewSurvey returns a Survey of the given entry processes.
func NewSurvey(members knapweedpulley.PeerList, link knapweedpulley.ConfigurationLink) *Survey {
	return &Survey{members: members, link: link}
}

// Status queries all entry processes in parallel, for at most 2 s.
func (s *Survey) Status(ctx context.Context) Status {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	members := s.members.Peers()
	status := Status{Entries: make([]EntryStatus, len(members)), Uniform: true}
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() { status.Entries[i] = s.fetchStatus(ctx, m) })
	}
	group.Wait()
	status.markBehind()
	return status
}

// fetchStatus returns the status of one entry process.
func (s *Survey) fetchStatus(ctx context.Context, m knapweedpulley.Member) EntryStatus {
	e := EntryStatus{Entry: m.Entry, Zone: m.Zone, Address: m.Address, Customers: []CustomerStatus{}}
	report, err := s.link.Await(ctx, m, knapweedpulley.KindCustomers, 0)
	if err != nil {
		return e
	}
	e.Reachable, e.Age = true, settings.Duration(report.Age)
	for _, c := range report.Customers {
		e.Customers = append(e.Customers, CustomerStatus{Customer: c.Customer, Version: c.Version})
	}
	return e
}

// markBehind sets Behind of the customers and Uniform of the status.
func (s *Status) markBehind() {
	latest := make(map[knapweedpulley.CustomerID]knapweedpulley.Version)
	for _, e := range s.Entries {
		for _, c := range e.Customers {
			latest[c.Customer] = max(latest[c.Customer], c.Version)
		}
	}
	for _, e := range s.Entries {
		s.Uniform = s.Uniform && e.Reachable && len(e.Customers) == len(latest)
		for i, c := range e.Customers {
			e.Customers[i].Behind = c.Version < latest[c.Customer]
			s.Uniform = s.Uniform && !e.Customers[i].Behind
		}
	}
}
