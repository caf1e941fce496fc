package burn

import "time"

// Objective names a service-level objective.
type Objective string

// Objectives of each customer.
const (
	// ObjectiveColdStart is that requests for models that are not loaded wait for the load no longer
	// than the target in the customer's template.
	ObjectiveColdStart Objective = "coldStart"
	// ObjectiveAnswers is that requests are answered or refused in time.
	ObjectiveAnswers Objective = "answersInTime"
	// ObjectiveRefusals is that requests within the customer's rate are not refused.
	ObjectiveRefusals Objective = "refusalsWithinRate"
	// ObjectiveShare is that the tokens that a customer requests are served, up to its rate.
	ObjectiveShare Objective = "share"
)

// Targets of the objectives, as the share of good events.
const (
	targetColdStart = 0.99
	targetAnswers   = 0.999
	targetRefusals  = 0.999
	targetShare     = 0.95
)

// Windows and thresholds of the burn rates. The long window of a pair shows that the burn is
// significant, the short one that it still goes on.
const (
	fastLongWindow  = time.Hour
	fastShortWindow = 5 * time.Minute
	slowLongWindow  = 6 * time.Hour
	slowShortWindow = 30 * time.Minute

	// fastBurnThreshold is the burn rate that uses up 2 % of a 30-day error budget in 1 h.
	fastBurnThreshold = 14.4
	// slowBurnThreshold is the burn rate that uses up 5 % of a 30-day error budget in 6 h.
	slowBurnThreshold = 6.0
)

// objectives lists all objectives.
func objectives() []Objective {
	return []Objective{ObjectiveColdStart, ObjectiveAnswers, ObjectiveRefusals, ObjectiveShare}
}

// target returns the lowest share of good events that meets the objective.
func (o Objective) target() float64 {
	switch o {
	case ObjectiveColdStart:
		return targetColdStart
	case ObjectiveAnswers:
		return targetAnswers
	case ObjectiveRefusals:
		return targetRefusals
	default:
		return targetShare
	}
}

// ratio has the number of bad events and the number of all events. The events of the share
// objective are tokens, those of all others are requests.
type ratio struct {
	bad float64
	all float64
}

func (r *ratio) add(other ratio) {
	r.bad += other.bad
	r.all += other.all
}

// burn returns the burn rate: how many times faster than the target allows the error budget is used
// up. It is zero if there are no events.
func (r ratio) burn(target float64) float64 {
	if r.all == 0 {
		return 0
	}
	return r.bad / r.all / (1 - target)
}

// measure returns the bad events and all events of an objective in one minute. The counts are those
// of the whole fleet, and allowed is the number of tokens that the customer's contract allowed in
// that minute.
func (o Objective) measure(c Counts, allowed float64) ratio {
	switch o {
	case ObjectiveColdStart:
		return ratio{bad: float64(c.SlowStarts), all: float64(c.ColdStarts)}
	case ObjectiveAnswers:
		return ratio{bad: float64(c.Failed), all: float64(c.Answered + c.Refused + c.OverRate + c.Failed)}
	case ObjectiveRefusals:
		return measureRefusals(c, allowed)
	default:
		return measureShare(c, allowed)
	}
}

// measureRefusals counts the refusals because of the rate as bad events only if the contract
// allowed all tokens that the customer requested; otherwise they are not counted at all. Refusals
// for any other reason are always bad events.
func measureRefusals(c Counts, allowed float64) ratio {
	r := ratio{bad: float64(c.Refused), all: float64(c.Answered + c.Refused + c.Failed)}
	if c.OverRate > 0 && float64(c.Demanded) <= allowed {
		r.bad += float64(c.OverRate)
		r.all += float64(c.OverRate)
	}
	return r
}

// measureShare counts the due tokens, and as bad events those of them that were not served. The due
// tokens are the requested tokens, up to those that the contract allowed.
func measureShare(c Counts, allowed float64) ratio {
	due := min(float64(c.Demanded), allowed)
	return ratio{bad: max(0, due-float64(c.Served)), all: due}
}
