package contract

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/knapweedpulley/knapweedpulley"
)

const (
	modelCustomer = knapweedpulley.CustomerID("iturralde")
	// maxModelGrants and maxModelRecounts bound the grants and recounts in a trace, and
	// maxModelMessages the messages in transit.
	maxModelGrants   = 2
	maxModelRecounts = 2
	maxModelMessages = 1
)

// modelState is a state of the explored model: real protocol states, and messages in transit
// that may arrive in any order, any number of times, or never.
type modelState struct {
	// protocols holds the protocol state of each member. Model states that don't differ in the
	// state of a member share it.
	protocols []*Protocol
	// memberKeys caches the keys of the members. An empty key is unknown.
	memberKeys []string
	dead       []bool
	messages   []knapweedpulley.ShareMessage
	view       knapweedpulley.EntryView
	grants     int
	recounts   int
	trace      []string
}

func modelMember(i int) knapweedpulley.MemberID {
	return knapweedpulley.MemberID{Entry: knapweedpulley.EntryID(strconv.Itoa(i)), Incarnation: 1}
}

// newModelState returns a state in which all members know each other and the first one holds
// the whole contract.
func newModelState(members int) *modelState {
	state := &modelState{dead: make([]bool, members), view: knapweedpulley.EntryView{Revision: 1}}
	for i := range members {
		id := modelMember(i)
		state.view.Entries = append(state.view.Entries, knapweedpulley.RegisteredEntry{
			Member: knapweedpulley.Member{Entry: id.Entry, Incarnation: id.Incarnation},
			State:  knapweedpulley.EntryActive,
		})
		state.protocols = append(state.protocols, NewProtocol(id))
		state.memberKeys = append(state.memberKeys, "")
	}
	for _, p := range state.protocols {
		p.SetView(state.view)
	}
	state.protocols[0].held[modelCustomer] = knapweedpulley.WholePortion
	return state
}

func (p *Protocol) result() *Protocol {
	clone := *p
	clone.held = maps.Clone(p.held)
	clone.grantsByPeer = make(map[knapweedpulley.MemberID]*peerGrants, len(p.grantsByPeer))
	for id, grants := range p.grantsByPeer {
		copied := *grants
		copied.unacknowledged = slices.Clone(grants.unacknowledged)
		clone.grantsByPeer[id] = &copied
	}
	if p.recount != nil {
		clone.recount = &recount{epoch: p.recount.epoch, reports: maps.Clone(p.recount.reports)}
	}
	return &clone
}

// successor returns a copy of the state whose trace ends with the given step.
func (s *modelState) successor(step string, args ...any) *modelState {
	return &modelState{
		protocols:  slices.Clone(s.protocols),
		memberKeys: slices.Clone(s.memberKeys),
		dead:       slices.Clone(s.dead),
		messages:   slices.Clone(s.messages),
		view:       s.view,
		grants:     s.grants,
		recounts:   s.recounts,
		trace:      append(slices.Clone(s.trace), fmt.Sprintf(step, args...)),
	}
}

// mutableMember replaces the protocol state of a member with a copy, which may be changed, and
// returns the copy.
func (s *modelState) mutableMember(i int) *Protocol {
	s.protocols[i] = s.protocols[i].result()
	s.memberKeys[i] = ""
	return s.protocols[i]
}

// send adds a message in transit. If there are too many, it removes the oldest one, which is then
// lost or has been delivered.
func (s *modelState) send(m knapweedpulley.ShareMessage) {
	if len(s.messages) == maxModelMessages {
		s.messages = s.messages[1:]
	}
	s.messages = append(s.messages, m)
}

// key identifies the state apart from its trace.
func (s *modelState) key() string {
	for i := range s.protocols {
		if s.memberKeys[i] == "" {
			s.memberKeys[i] = s.memberKey(s.protocols[i])
		}
	}
	return fmt.Sprint(s.memberKeys, s.dead, s.messages, s.view.Revision, s.grants, s.recounts)
}

// memberKey identifies the protocol state of a member.
func (s *modelState) memberKey(member *Protocol) string {
	var text strings.Builder
	fmt.Fprint(&text, member.held, member.view.Revision, member.epoch, member.report)
	for i := range s.protocols {
		if grants, ok := member.grantsByPeer[modelMember(i)]; ok {
			fmt.Fprint(&text, i, *grants)
		}
	}
	if member.recount != nil {
		fmt.Fprint(&text, *member.recount)
	}
	return text.String()
}

// held returns the sum of the portions of the members that may still act.
func (s *modelState) held() knapweedpulley.Portion {
	var sum knapweedpulley.Portion
	for i, member := range s.protocols {
		if !s.dead[i] {
			sum += member.held[modelCustomer]
		}
	}
	return sum
}

// successors returns all states that are one step away.
func (s *modelState) successors() []*modelState {
	list := s.lateDeliverySteps()
	for i, member := range s.protocols {
		if s.dead[i] {
			continue
		}
		list = append(list, s.grantSteps(i, member)...)
		list = append(list, s.recountSteps(i, member)...)
		for j := range s.protocols {
			if j != i && s.needsMessage(member, j) {
				list = append(list, s.exchangeSteps(i, j)...)
			}
		}
		if member.view.Revision < s.view.Revision {
			n := s.successor("%d receives the current view", i)
			n.mutableMember(i).SetView(s.view)
			list = append(list, n)
		}
	}
	return append(list, s.evictionSteps()...)
}

// needsMessage reports whether a message of a member to member j would carry any information.
func (s *modelState) needsMessage(member *Protocol, j int) bool {
	_, ok := member.grantsByPeer[modelMember(j)]
	return ok || member.recount != nil && !member.recount.has(modelMember(j))
}

// exchangeSteps returns the outcomes of a message from member i to member j: it is answered at
// once, or the answer stays in transit, or the message itself does.
func (s *modelState) exchangeSteps(i, j int) []*modelState {
	m := s.protocols[i].Message(modelMember(j))
	late := s.successor("%d sends to %d", i, j)
	late.send(m)
	return append(s.deliverySteps(m, fmt.Sprintf("%d reaches %d", i, j)), late)
}

// lateDeliverySteps returns the outcomes of the delivery of each message in transit. The message
// stays in transit, because it may arrive again.
func (s *modelState) lateDeliverySteps() []*modelState {
	var list []*modelState
	for _, m := range s.messages {
		name := fmt.Sprintf("late message (taken %d, grants %d, epoch %d) of %s reaches %s",
			m.Taken, len(m.Grants), m.Epoch.Number, m.From.Entry, m.To.Entry)
		list = append(list, s.deliverySteps(m, name)...)
	}
	return list
}

// deliverySteps returns the outcomes of the delivery of a message: its answer arrives at once, or
// stays in transit. The receiver answers as [Limiter.HandleShares] does.
func (s *modelState) deliverySteps(m knapweedpulley.ShareMessage, step string) []*modelState {
	i := s.index(m.To)
	if s.dead[i] {
		return nil
	}
	n := s.successor("%s", step)
	member := n.mutableMember(i)
	member.Receive(m)
	answer := member.Message(m.From)
	if r, ok := member.Report(m.Epoch); ok && m.Counting {
		answer.Report = knapweedpulley.Some(r)
	}
	late := n.successor("its answer is late")
	late.send(answer)
	if from := s.index(m.From); !s.dead[from] {
		n.mutableMember(from).Receive(answer)
	}
	return []*modelState{n, late}
}

// index returns the position of a member.
func (s *modelState) index(id knapweedpulley.MemberID) int {
	return slices.IndexFunc(s.protocols, func(p *Protocol) bool { return p.self == id })
}

// grantSteps returns the outcomes of member i granting all it holds to another member.
func (s *modelState) grantSteps(i int, member *Protocol) []*modelState {
	var list []*modelState
	if s.grants == maxModelGrants || member.held[modelCustomer] == 0 {
		return nil
	}
	for j := range s.protocols {
		n := s.successor("%d grants to %d", i, j)
		g := knapweedpulley.Grant{Customer: modelCustomer, Portion: member.held[modelCustomer]}
		if n.mutableMember(i).Grant(modelMember(j), g) {
			n.grants++
			list = append(list, n)
		}
	}
	return list
}

// recountSteps returns the outcomes of member i starting a recount, or claiming free portions.
func (s *modelState) recountSteps(i int, member *Protocol) []*modelState {
	var list []*modelState
	if s.recounts < maxModelRecounts && member.recount == nil {
		n := s.successor("%d recounts", i)
		n.mutableMember(i).Recount()
		n.recounts++
		list = append(list, n)
	}
	n := s.successor("%d claims", i)
	if _, ok := n.mutableMember(i).ClaimFree([]knapweedpulley.CustomerID{modelCustomer}); ok {
		list = append(list, n)
	}
	return list
}

// evictionSteps ends the last member, if it has not ended yet, and removes it from the view. Its
// messages stay in transit.
func (s *modelState) evictionSteps() []*modelState {
	last := len(s.protocols) - 1
	if s.dead[last] {
		return nil
	}
	n := s.successor("%d has ended", last)
	n.dead[last] = true
	n.view = knapweedpulley.EntryView{Revision: 2, Entries: s.view.Entries[:last]}
	return []*modelState{n}
}

// explore visits all states up to a depth, breadth first. It returns their number, and the trace
// to the first state in which more than the whole contract is held.
func explore(start *modelState, depth int) (int, []string) {
	visited := knapweedpulley.NewSet(start.key())
	frontier := []*modelState{start}
	for ; depth > 0 && len(frontier) > 0; depth-- {
		var following []*modelState
		for _, state := range frontier {
			for _, next := range state.successors() {
				if next.held() > knapweedpulley.WholePortion {
					return len(visited), next.trace
				}
				if k := next.key(); !visited.Has(k) {
					visited.Add(k)
					following = append(following, next)
				}
			}
		}
		frontier = following
	}
	return len(visited), nil
}

// newEvictedState returns a state in which the last member has granted the whole contract, which
// it held, and has ended. The grant is in transit.
func newEvictedState() *modelState {
	state := newModelState(3)
	whole := knapweedpulley.Grant{Customer: modelCustomer, Portion: knapweedpulley.WholePortion}
	state.protocols[0].Grant(modelMember(2), whole)
	state = state.exchangeSteps(0, 2)[0]
	state.protocols[2].Grant(modelMember(1), whole)
	state.send(state.protocols[2].Message(modelMember(1)))
	state.grants = maxModelGrants
	return state.evictionSteps()[0]
}

func TestExploration(t *testing.T) {
	cases := []struct {
		name  string
		start *modelState
		depth int
	}{
		{"2 members hold at most the whole contract", newModelState(2), 8},
		{"3 members hold at most the whole contract", newModelState(3), 5},
		{"a late grant of an evicted member creates no portion", newEvictedState(), 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			states, trace := explore(c.start, c.depth)
			t.Logf("visited %d states", states)
			if trace != nil {
				t.Errorf("more than the whole contract is held after:\n%s", strings.Join(trace, "\n"))
			}
		})
	}
}
