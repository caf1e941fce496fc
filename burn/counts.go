package burn

// Counts has the number of a customer's requests by outcome, and their tokens, in a period of time.
type Counts struct {
	Answered   int64 `json:"answered,omitempty"`
	Refused    int64 `json:"refused,omitempty"`
	OverRate   int64 `json:"overRate,omitempty"`
	Failed     int64 `json:"failed,omitempty"`
	ColdStarts int64 `json:"coldStarts,omitempty"`
	SlowStarts int64 `json:"slowStarts,omitempty"`
	// Demanded is the sum of the charges of all requests, and Served the sum of the charges of the
	// answered requests, both in tokens.
	Demanded int64 `json:"demanded,omitempty"`
	Served   int64 `json:"served,omitempty"`
}

// add adds the other counts to c.
func (c *Counts) add(other Counts) {
	c.Answered += other.Answered
	c.Refused += other.Refused
	c.OverRate += other.OverRate
	c.Failed += other.Failed
	c.ColdStarts += other.ColdStarts
	c.SlowStarts += other.SlowStarts
	c.Demanded += other.Demanded
	c.Served += other.Served
}

// counterName is the name of a counter in the metrics.
type counterName string

// Names of the counters.
const (
	counterAnswered   counterName = "answered_requests"
	counterRefused    counterName = "refused_requests"
	counterOverRate   counterName = "over_rate_requests"
	counterFailed     counterName = "failed_requests"
	counterColdStarts counterName = "cold_starts"
	counterSlowStarts counterName = "slow_starts"
	counterDemanded   counterName = "demanded_tokens"
	counterServed     counterName = "served_tokens"
)

// counterNames lists all counters.
func counterNames() []counterName {
	return []counterName{
		counterAnswered, counterRefused, counterOverRate, counterFailed,
		counterColdStarts, counterSlowStarts, counterDemanded, counterServed,
	}
}

// counterIn returns a pointer to the field of c that f names, or nil if f is not the name of a
// counter.
func (f counterName) counterIn(c *Counts) *int64 {
	switch f {
	case counterAnswered:
		return &c.Answered
	case counterRefused:
		return &c.Refused
	case counterOverRate:
		return &c.OverRate
	case counterFailed:
		return &c.Failed
	case counterColdStarts:
		return &c.ColdStarts
	case counterSlowStarts:
		return &c.SlowStarts
	case counterDemanded:
		return &c.Demanded
	case counterServed:
		return &c.Served
	default:
		return nil
	}
}

// counts returns the counts of a single event, and false if the event is not counted: the caller is
// at fault, or the customer is not known.
func (e Event) counts() (Counts, bool) {
	c := Counts{Demanded: int64(e.Charge)}
	switch e.outcome() {
	case outcomeAnswered:
		c.Answered = 1
		c.Served = int64(e.Charge)
	case outcomeRefused:
		c.Refused = 1
	case outcomeOverRate:
		c.OverRate = 1
	case outcomeFailed:
		c.Failed = 1
	default:
		return Counts{}, false
	}
	if counted, slow := e.coldStart(); counted {
		c.ColdStarts = 1
		if slow {
			c.SlowStarts = 1
		}
	}
	return c, e.Customer != ""
}
