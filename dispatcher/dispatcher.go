package dispatcher

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	maxAttempts = 4
	maxResumes  = 8
	firstWait   = 50 * time.Millisecond
	longestWait = time.Second
	backoff     = 2
)

// Dispatcher is one request's life; Resumable and the zero value of the rest begin it.
type Dispatcher struct {
	// Resumable tells that the endpoint can send the rest of a run again.
	Resumable bool

	attempts int
	resumes  int
	chunks   int
	wait     time.Duration
}

// Next returns what follows the result, with the number of chunks that have come in all.
func (d *Dispatcher) Next(r Result, chunks int) Action {
	progress := chunks > d.chunks
	d.chunks = chunks
	if progress {
		d.resumes, d.wait = 0, 0
	}
	switch r.(type) {
	case Completed:
		return Finish{}
	case NotStarted:
		return d.elsewhere()
	case Interrupted:
		return d.resume(false)
	case Unreachable:
		return d.resume(true)
	case RunNotFound:
		return Fail{Kind: d.lost(), EndpointLost: true}
	case Failed:
		return Fail{Kind: dotterelpulley.ErrorRunFailed}
	case Cancelled:
		return Fail{Kind: dotterelpulley.ErrorOutcomeUnknown, Cancel: d.Resumable}
	}
	return Fail{Kind: d.lost()}
}

// elsewhere allows another endpoint only while no attempt can have started.
func (d *Dispatcher) elsewhere() Action {
	if d.resumes > 0 || d.chunks > 0 {
		return d.resume(true)
	}
	d.attempts++
	if d.attempts >= maxAttempts {
		return Fail{Kind: dotterelpulley.ErrorNoEndpoint}
	}
	return RetryElsewhere{}
}

// resume asks for the rest of the run until the endpoint has been silent for too long.
func (d *Dispatcher) resume(unreached bool) Action {
	if !d.Resumable {
		return Fail{Kind: d.lost(), EndpointLost: unreached}
	}
	if d.resumes >= maxResumes {
		return Fail{Kind: d.lost(), EndpointLost: unreached}
	}
	after := d.wait
	d.resumes++
	d.wait = min(max(d.wait*backoff, firstWait), longestWait)
	return Resume{Delay: after}
}

// lost is the kind of a request whose run may have gone to any point.
func (d *Dispatcher) lost() dotterelpulley.ErrorKind {
	if d.chunks > 0 {
		return dotterelpulley.ErrorCut
	}
	return dotterelpulley.ErrorOutcomeUnknown
}
