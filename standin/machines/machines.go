// Package machines simulates the platform's list of VMs, which shows changes with a
// configurable delay.
//
// # Usage
//
//	list := machines.NewList()
//	list.SetLag(2 * time.Second)
//	list.Put(machines.Machine{ID: "vm-1", Zone: "zone-a", Role: knapweedpulley.RoleAgent})
//	server := httptest.NewServer(machines.NewHandler(list, fault.NewInjector()))
package machines

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/settings"
	"github.com/knapweedpulley/knapweedpulley/standin/fault"
	"github.com/knapweedpulley/knapweedpulley/standin/lag"
	"github.com/knapweedpulley/knapweedpulley/standin/web"
)

const pathLag = "/lag"

// Machine is one VM of the list.
type Machine struct {
	ID      knapweedpulley.MachineID   `json:"id"`
	Zone    knapweedpulley.ZoneID      `json:"zone"`
	Region  knapweedpulley.RegionID    `json:"region"`
	Leaving bool                       `json:"leaving"`
	Role    knapweedpulley.MachineRole `json:"role"`
	Address string                     `json:"address"`
}

// Listing is the response body of GET /machines.
type Listing struct {
	Machines []Machine `json:"machines"`
	Sequence uint64    `json:"sequence"`
}

// Lag is the body of PUT /lag.
type Lag struct {
	Lag settings.Duration `json:"lag"`
}

// List is the platform's list of VMs. It implements
// knapweedpulley.MachineList.
type List struct {
	mu      sync.Mutex
	current Listing
	visible *lag.Value[Listing]
}

// NewList returns an empty list without lag.
func NewList() *List {
	return &List{visible: lag.NewValue(Listing{Machines: []Machine{}})}
}

// SetLag sets the delay until a change becomes visible.
func (l *List) SetLag(d time.Duration) {
	l.visible.SetLag(d)
}

// Put adds or replaces a machine.
func (l *List) Put(m Machine) {
	l.replace(m.ID, []Machine{m})
}

// Delete removes a machine.
func (l *List) Delete(id knapweedpulley.MachineID) {
	l.replace(id, nil)
}

// replace removes the machine with the given id and adds the replacements.
func (l *List) replace(id knapweedpulley.MachineID, replacements []Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	machines := slices.DeleteFunc(slices.Clone(l.current.Machines), func(m Machine) bool { return m.ID == id })
	machines = append(machines, replacements...)
	slices.SortFunc(machines, func(a, b Machine) int { return cmp.Compare(a.ID, b.ID) })
	l.current = Listing{Machines: machines, Sequence: l.current.Sequence + 1}
	l.visible.Put(l.current)
}

// Visible returns the list as it was before the lag.
func (l *List) Visible() Listing {
	return l.visible.Get()
}

// Machines implements knapweedpulley.MachineList.
func (l *List) Machines(context.Context) (knapweedpulley.MachineListing, error) {
	visible := l.Visible()
	listing := knapweedpulley.MachineListing{Sequence: visible.Sequence}
	for _, m := range visible.Machines {
		listing.Machines = append(listing.Machines, knapweedpulley.Machine(m))
	}
	return listing, nil
}

// NewHandler returns the HTTP API of list, subject to the fault that is set in faults.
func NewHandler(list *List, faults *fault.Injector) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		web.Write(w, http.StatusOK, list.Visible())
	})
	mux.HandleFunc("PUT /machines/{id}", func(w http.ResponseWriter, r *http.Request) {
		var m Machine
		if !web.Read(w, r, &m) {
			return
		}
		m.ID = knapweedpulley.MachineID(r.PathValue("id"))
		list.Put(m)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("DELETE /machines/{id}", func(w http.ResponseWriter, r *http.Request) {
		list.Delete(knapweedpulley.MachineID(r.PathValue("id")))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("PUT "+pathLag, func(w http.ResponseWriter, r *http.Request) {
		var l Lag
		if !web.Read(w, r, &l) {
			return
		}
		list.SetLag(time.Duration(l.Lag))
		w.WriteHeader(http.StatusNoContent)
	})
	return faults.Wrap(mux, pathLag)
}
