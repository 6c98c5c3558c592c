package entry

import (
	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

// watch is one reader's hold on an output.
type watch struct {
	*output
	// leave says that the reader has gone.
	leave func()
}

// submit runs a caller's request here or on the host that holds its key; a request without a key gets one of this host.
func (e *Entry) submit(req *dotterelpulley.Request) (watch, *dotterelpulley.Refusal) {
	keyless := req.Key.Idempotency == ""
	if e.draining.Load() {
		return watch{}, leavingRefusal(keyless)
	}
	s := e.claims.session()
	if keyless {
		key, err := s.issue()
		if err != nil {
			return watch{}, dotterelpulley.Refuse(dotterelpulley.ErrorNotReady, 0, err.Error())
		}
		req.Key.Idempotency = key
	}
	return e.submitTo(s, *req, claimer.Submit{Issued: keyless})
}

// leavingRefusal says "not run" only of a request that no other host can know.
func leavingRefusal(keyless bool) *dotterelpulley.Refusal {
	if keyless {
		return dotterelpulley.Refuse(dotterelpulley.ErrorDraining, 0, "the host is leaving")
	}
	return dotterelpulley.Refuse(dotterelpulley.ErrorHolderUnreachable, 0, "the host is leaving and takes no key; another host knows it")
}

// submitTo does what the claimer says of the request.
func (e *Entry) submitTo(s *session, req dotterelpulley.Request, b claimer.Submit) (watch, *dotterelpulley.Refusal) {
	v := s.begin(req, b)
	switch {
	case v.refusal != nil:
		return watch{}, v.refusal
	case v.forward != nil:
		return e.forward(req, *v.forward, b.Visited), nil
	default:
		return e.runs.watch(v.run), nil
	}
}
