package entry

import (
	"fmt"

	"github.com/dotterelpulley/dotterelpulley"
)

// checkAdmissible refuses a new request if this host has no configuration yet or its service is not configured. It is
// called only for keys that have not run.
func (e *Entry) checkAdmissible(req dotterelpulley.Request) *dotterelpulley.Refusal {
	if !e.logState.ready() {
		return dotterelpulley.Refuse(dotterelpulley.ErrorNotReady, 0, "the host has not learned the configuration yet")
	}
	if !e.logState.serves(req.Service) {
		return dotterelpulley.Refuse(dotterelpulley.ErrorUnknownService, 0, fmt.Sprintf("service %q is not in the configuration", req.Service))
	}
	return nil
}
