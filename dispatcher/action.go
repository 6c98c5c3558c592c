package dispatcher

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Action is what follows a result.
type Action interface {
	action()
}

// Finish ends the request with a complete answer.
type Finish struct{}

// RetryElsewhere sends the request to another endpoint, since this one has started nothing.
type RetryElsewhere struct{}

// Resume asks the same endpoint for the rest of the same run after the delay, on a new connection.
type Resume struct{ Delay time.Duration }

// Fail ends the request with a refusal of the kind; EndpointLost reports that the endpoint has lost the run or is unreachable.
type Fail struct {
	Kind         dotterelpulley.ErrorKind
	EndpointLost bool
	// Cancel requests that the endpoint be told to stop the run.
	Cancel bool
}

func (Finish) action()         {}
func (RetryElsewhere) action() {}
func (Resume) action()         {}
func (Fail) action()           {}
