package admin

import (
	"context"
	"slices"
	"time"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/membership"
)

const (
	// acceptTimeout bounds the wait for acknowledgements of a change.
	acceptTimeout = 5 * time.Second
	// slowEntryTimeout bounds the wait for further acknowledgements once a change is
	// accepted.
	slowEntryTimeout = 500 * time.Millisecond
)

// Acknowledgement lists the entries that have put a change in force.
type Acknowledgement struct {
	// Accepted is set if the entries that acknowledged have a member in common with
	// every majority of the entries.
	Accepted     bool                     `json:"accepted"`
	Acknowledged []knapweedpulley.EntryID `json:"acknowledged"`
	// Missing lists the entries that have not acknowledged yet.
	Missing []knapweedpulley.EntryID `json:"missing"`
}

// Acceptance waits until the entry processes have put a change in force.
type Acceptance struct {
	members knapweedpulley.PeerList
	link    knapweedpulley.ConfigurationLink
}

// NewAcceptance returns an Acceptance for the given entry processes.
func NewAcceptance(members knapweedpulley.PeerList, link knapweedpulley.ConfigurationLink) *Acceptance {
	return &Acceptance{members: members, link: link}
}

// Wait waits until a change is accepted: a set of entries that has a member in common
// with every majority has put the collection in force up to a revision. It waits at
// most 5 s in total. Once the change is accepted, it waits at most 500 ms for the other
// entries, so that Missing names those that are slow.
func (a *Acceptance) Wait(
	ctx context.Context, kind knapweedpulley.Kind, revision knapweedpulley.Revision,
) Acknowledgement {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	members := a.members.Peers()
	answers := a.awaitAll(ctx, members, kind, revision)
	var acknowledged []knapweedpulley.EntryID
	var slowEntries <-chan time.Time
	for len(acknowledged) < len(members) {
		select {
		case e := <-answers:
			acknowledged = append(acknowledged, e)
		case <-slowEntries:
			return acknowledgementOf(members, acknowledged)
		case <-ctx.Done():
			return acknowledgementOf(members, acknowledged)
		}
		if len(acknowledged) == membership.Blocking(len(members)) {
			slowEntries = time.After(slowEntryTimeout)
		}
	}
	return acknowledgementOf(members, acknowledged)
}

// awaitAll sends a request to each member, and returns a channel of the members that
// acknowledge.
func (a *Acceptance) awaitAll(
	ctx context.Context, members []knapweedpulley.Member, kind knapweedpulley.Kind, revision knapweedpulley.Revision,
) <-chan knapweedpulley.EntryID {
	answers := make(chan knapweedpulley.EntryID, len(members))
	for _, m := range members {
		go func() {
			if _, err := a.link.Await(ctx, m, kind, revision); err == nil {
				answers <- m.Entry
			}
		}()
	}
	return answers
}

func acknowledgementOf(members []knapweedpulley.Member, acknowledged []knapweedpulley.EntryID) Acknowledgement {
	a := Acknowledgement{
		Accepted:     len(members) > 0 && len(acknowledged) >= membership.Blocking(len(members)),
		Acknowledged: slices.Sorted(slices.Values(acknowledged)),
		Missing:      []knapweedpulley.EntryID{},
	}
	for _, m := range members {
		if !slices.Contains(acknowledged, m.Entry) {
			a.Missing = append(a.Missing, m.Entry)
		}
	}
	slices.Sort(a.Missing)
	return a
}
