package gateway

import (
	"context"

	"github.com/knapweedpulley/knapweedpulley"
	"github.com/knapweedpulley/knapweedpulley/installation"
)

// readmit admits the call anew before an attempt if another configuration has come into force since
// its last admission. The customer that holds the key now is charged, and the call runs for it.
func (h *callHandler) readmit(ctx context.Context) error {
	for {
		s, known := h.Follower.Current()
		if !known || s.Version == h.admission.Version {
			return nil
		}
		next, err := h.admitAnew(s)
		if err != nil {
			return err
		}
		if err := h.chargeCustomer(ctx, &next); err != nil {
			return err
		}
		// A charge may have waited for the rate.
		h.admission = next
	}
}

// watchAdmission ends a wait of the call, with the refusal as its cause, when a configuration comes into
// force that no longer admits it as the given admission does. For a call that may have run, that is decided
// before its next attempt.
func (h *callHandler) watchAdmission(ctx context.Context, cancel context.CancelCauseFunc, a *installation.Admission) {
	if h.possibleRuns > 0 || h.moved {
		return
	}
	follower, call, service, version := h.Follower, h.call, a.Service.ID, a.Version
	go func() {
		for {
			s, known := follower.Current()
			if !known {
				return
			}
			if s.Version != version {
				if _, err := s.Readmit(call, service); err != nil {
					cancel(err)
					return
				}
			}
			select {
			case <-s.Replaced():
			case <-ctx.Done():
				return
			}
		}
	}()
}

// admitAnew returns the admission of the call by another configuration. The service of the call and
// the framing of a begun answer stay, and so does its deadline, by which the caller was told to wait.
// A call that the gateway has moved keeps its route, as it would have at the endpoint that it was
// moved away from.
func (h *callHandler) admitAnew(s *installation.Snapshot) (installation.Admission, error) {
	next, err := s.Readmit(h.call, h.admission.Service.ID)
	if err != nil && h.moved {
		return s.Reauthenticate(h.call, h.admission)
	}
	if err == nil {
		err = h.checkRepeat(&next.Route)
	}
	switch {
	case h.moved:
		next.Route = h.admission.Route
	case h.answerStarted:
		next.Route.Stream = h.admission.Route.Stream
	}
	return next, err
}

// checkRepeat refuses a call that may have run if its changed route doesn't allow another run.
func (h *callHandler) checkRepeat(r *knapweedpulley.Route) error {
	switch {
	case h.possibleRuns == 0:
		return nil
	case r.Retry == knapweedpulley.AtMostOnce, h.answerStarted && r.Retry != knapweedpulley.Resumable,
		!h.moved && h.possibleRuns >= r.MaxAttempts:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.MayHaveRun,
			"route %s no longer allows to run the request again", r.ID)
	default:
		return nil
	}
}

// checkAdmission refuses a call if the configuration in force doesn't admit it for the same customer
// and to the same service as the one before, or doesn't allow to repeat it. Begun is set if the caller
// has a part of the answer.
func (g *Gateway) checkAdmission(c *knapweedpulley.Call, before *installation.Admission, begun bool) error {
	s, known := g.Follower.Current()
	if !known || s.Version == before.Version {
		return nil
	}
	a, err := s.Readmit(c, before.Service.ID)
	switch {
	case err != nil:
		return err
	case a.Customer() != before.Customer():
		return knapweedpulley.NewRefusal(knapweedpulley.CodeInvalidKey, knapweedpulley.NotRun, "the key belongs to another customer")
	case a.Route.Retry == knapweedpulley.AtMostOnce, begun && a.Route.Retry != knapweedpulley.Resumable:
		return knapweedpulley.NewRefusal(knapweedpulley.CodeEngineFailed, knapweedpulley.NotRun,
			"route %s no longer allows to run the request again", a.Route.ID)
	default:
		return nil
	}
}
