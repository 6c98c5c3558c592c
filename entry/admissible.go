package entry

import (
	"fmt"

	"github.com/dotterelpulley/dotterelpulley"
)

// admissible refuses a new request that this host can't judge or no configuration knows; it says so only of a key that has not run.
func (e *Entry) admissible(req dotterelpulley.Request) *dotterelpulley.Refusal {
	if !e.followed.ready() {
		return dotterelpulley.Refuse(dotterelpulley.ErrorNotReady, 0, "the host has not learned the configuration yet")
	}
	if !e.followed.serves(req.Service) {
		return dotterelpulley.Refuse(dotterelpulley.ErrorUnknownService, 0, fmt.Sprintf("service %q is not in the configuration", req.Service))
	}
	return nil
}
