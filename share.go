package knapweedpulley

import "context"

// Contract is the rate and burst that a customer may use over all entry processes
// together.
type Contract struct {
	Customer CustomerID
	Rate     TokensPerSecond
	Burst    Tokens
	// Slack is added to Burst. Operators tolerate a number of tokens beyond a contract,
	// whatever its size.
	Slack Tokens
}

// Portion is a part of a customer's contract, counted in units of which
// [WholePortion] make the whole. Portions are whole numbers, so that transfers
// between members never create or lose any.
type Portion uint64

// WholePortion is the whole of a contract.
const WholePortion Portion = 1 << 32

// Of returns the portion's part of a whole amount.
func (p Portion) Of(whole float64) float64 {
	return whole * float64(p) / float64(WholePortion)
}

// MemberID names one run of an entry process.
type MemberID struct {
	Entry       EntryID
	Incarnation Incarnation
}

// Epoch numbers a recount of the shares. Later recounts have higher epochs, and
// no two recounts have the same one.
type Epoch struct {
	Number uint64
	// By is the member that makes the recount.
	By MemberID
	// View is the revision of the view whose entry processes are counted.
	View Revision
}

// Less reports whether e is earlier than f.
func (e Epoch) Less(f Epoch) bool {
	if e.Number != f.Number {
		return e.Number < f.Number
	}
	if e.By.Entry != f.By.Entry {
		return e.By.Entry < f.By.Entry
	}
	return e.By.Incarnation < f.By.Incarnation
}

// Grant moves a part of a customer's contract from one member to another. The
// sender reduces its own share before it sends the grant.
type Grant struct {
	// Number counts the grants from one member to another, starting at one.
	Number   uint64
	Customer CustomerID
	Portion  Portion
	// Level is the number of tokens in the bucket that move with the portion.
	Level float64
}

// ShareDemand reports what a member holds of a contract and what it needs.
type ShareDemand struct {
	Customer CustomerID
	Held     Portion
	Level    float64
	// Rate is the rate at which tokens were recently requested.
	Rate TokensPerSecond
}

// SharePull requests tokens that the sender lacks at this moment.
type SharePull struct {
	Customer CustomerID
	Tokens   float64
	// Extra is how many more the sender will need soon.
	Extra float64
}

// HeldShare is the part of a contract that a member reports to hold.
type HeldShare struct {
	Customer CustomerID
	Portion  Portion
}

// SentGrants lists the grants to one member that it has not acknowledged.
type SentGrants struct {
	To     MemberID
	Grants []Grant
}

// TakenGrants gives the number up to which the grants of a member were applied.
type TakenGrants struct {
	From   MemberID
	Number uint64
}

// ShareReport is what a member held when it joined an epoch.
type ShareReport struct {
	Epoch Epoch
	// View is the revision of the member's own view.
	View  Revision
	Held  []HeldShare
	Sent  []SentGrants
	Taken []TakenGrants
}

// ShareMessage is a message between two members about their shares. Requests and
// answers have the same form.
type ShareMessage struct {
	From  MemberID
	To    MemberID
	Epoch Epoch
	// Taken acknowledges the grants of the receiver up to a number.
	Taken  uint64
	Grants []Grant
	// Tick is set in periodic messages. Their demands are those that have changed.
	Tick    bool
	Demands []ShareDemand
	Pulls   []SharePull
	// Departing is set if the sender accepts no more shares.
	Departing bool
	// Counting requests the report for Epoch.
	Counting bool
	Report   Option[ShareReport]
}

// ShareLink sends share messages to other members.
type ShareLink interface {
	// Exchange sends m to a member and returns its answer.
	Exchange(ctx context.Context, to Member, m ShareMessage) (ShareMessage, error)
}

// ShareService answers the share messages of other members.
type ShareService interface {
	// HandleShares returns the answer to m.
	HandleShares(m ShareMessage) ShareMessage
}
