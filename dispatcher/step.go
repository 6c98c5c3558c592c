package dispatcher

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Step is what follows a result.
type Step interface {
	step()
}

// Finish ends the request with a whole answer.
type Finish struct{}

// Elsewhere sends the request to another endpoint, since this one has started nothing.
type Elsewhere struct{}

// Resume asks the same endpoint for the rest of the same run after the wait, on a new connection.
type Resume struct{ After time.Duration }

// Give ends the request with a refusal of the kind; Dead tells that the endpoint has lost the run.
type Give struct {
	Kind dotterelpulley.ErrorKind
	Dead bool
	// Cancel tells that the endpoint shall be told to stop the run.
	Cancel bool
}

func (Finish) step()    {}
func (Elsewhere) step() {}
func (Resume) step()    {}
func (Give) step()      {}
