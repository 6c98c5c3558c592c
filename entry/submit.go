package entry

import (
	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

// subscription is one reader's access to an output.
type subscription struct {
	*output
	// cancel ends the subscription.
	cancel func()
}

// submit runs a caller's request on this host or on the holder of its key; it issues a key for a request without one.
func (e *Entry) submit(req *dotterelpulley.Request) (subscription, *dotterelpulley.Refusal) {
	keyless := req.Key.Idempotency == ""
	if e.draining.Load() {
		return subscription{}, drainingRefusal(keyless)
	}
	s := e.claims.session()
	if keyless {
		key, err := s.issueKey()
		if err != nil {
			return subscription{}, dotterelpulley.Refuse(dotterelpulley.ErrorNotReady, 0, err.Error())
		}
		req.Key.Idempotency = key
	}
	return e.submitTo(s, *req, claimer.Submit{Issued: keyless})
}

// drainingRefusal returns the refusal of a draining host; it states "not run" only for a request without a key, which
// no other host can have received.
func drainingRefusal(keyless bool) *dotterelpulley.Refusal {
	if keyless {
		return dotterelpulley.Refuse(dotterelpulley.ErrorDraining, 0, "the host is leaving")
	}
	return dotterelpulley.Refuse(dotterelpulley.ErrorHolderUnreachable, 0, "the host is leaving and takes no key; another host knows it")
}

// submitTo submits the request to the session's claimer and executes the decision.
func (e *Entry) submitTo(s *session, req dotterelpulley.Request, event claimer.Submit) (subscription, *dotterelpulley.Refusal) {
	decision := s.begin(req, event)
	switch {
	case decision.refusal != nil:
		return subscription{}, decision.refusal
	case decision.forward != nil:
		return e.forward(req, *decision.forward, event.Visited), nil
	default:
		return e.runs.subscribe(decision.run), nil
	}
}
