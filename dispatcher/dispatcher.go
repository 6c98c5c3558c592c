package dispatcher

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	maxAttempts = 4
	maxResumes  = 8
	minDelay    = 50 * time.Millisecond
	maxDelay    = time.Second
	delayFactor = 2
)

// Dispatcher is the state of one request's attempts; the zero value is ready to use once Resumable is set.
type Dispatcher struct {
	// Resumable reports that the endpoint can send the rest of an interrupted run.
	Resumable bool

	attempts int
	resumes  int
	chunks   int
	delay    time.Duration
}

// Next returns the action that follows the result; chunks is the total number of chunks received.
func (d *Dispatcher) Next(result Result, chunks int) Action {
	progress := chunks > d.chunks
	d.chunks = chunks
	if progress {
		d.resumes, d.delay = 0, 0
	}
	switch result.(type) {
	case Completed:
		return Finish{}
	case NotStarted:
		return d.retryElsewhere()
	case Interrupted:
		return d.resume(false)
	case Unreachable:
		return d.resume(true)
	case RunNotFound:
		return Fail{Kind: d.lostKind(), EndpointLost: true}
	case Failed:
		return Fail{Kind: dotterelpulley.ErrorRunFailed}
	case Cancelled:
		return Fail{Kind: dotterelpulley.ErrorOutcomeUnknown, Cancel: d.Resumable}
	}
	return Fail{Kind: d.lostKind()}
}

// retryElsewhere allows another endpoint only while no attempt can have started.
func (d *Dispatcher) retryElsewhere() Action {
	if d.resumes > 0 || d.chunks > 0 {
		return d.resume(true)
	}
	d.attempts++
	if d.attempts >= maxAttempts {
		return Fail{Kind: dotterelpulley.ErrorNoEndpoint}
	}
	return RetryElsewhere{}
}

// resume asks for the rest of the run, unless too many resumes in a row have brought no chunk.
func (d *Dispatcher) resume(unreachable bool) Action {
	if !d.Resumable {
		return Fail{Kind: d.lostKind(), EndpointLost: unreachable}
	}
	if d.resumes >= maxResumes {
		return Fail{Kind: d.lostKind(), EndpointLost: unreachable}
	}
	resumeDelay := d.delay
	d.resumes++
	d.delay = min(max(d.delay*delayFactor, minDelay), maxDelay)
	return Resume{Delay: resumeDelay}
}

// lostKind returns the error kind of a request when it is unknown how far it has run.
func (d *Dispatcher) lostKind() dotterelpulley.ErrorKind {
	if d.chunks > 0 {
		return dotterelpulley.ErrorCut
	}
	return dotterelpulley.ErrorOutcomeUnknown
}
