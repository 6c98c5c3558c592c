package scheduler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Endpoint is an endpoint that may get work.
type Endpoint struct {
	dotterelpulley.Endpoint
	Version dotterelpulley.VersionID
	// Slots is how many requests it runs at once.
	Slots int
}

const (
	// paceWeight is the weight of a new gap in an endpoint's pace; some twenty gaps decide.
	paceWeight = 0.05
	// readingWeight is the weight of a new first event in an endpoint's reading time; some seven decide.
	readingWeight = 0.15
	// leastRead is the least number of tokens from which a reading time is learned, as a first step takes its time too.
	leastRead = 800
	// firstStep is about the time that a first event takes without a prompt.
	firstStep = 20 * time.Millisecond
	// failureWeight is the weight of a run's end in an endpoint's failure share.
	failureWeight = 0.15
	// failurePenalty is by how much a failure share of one makes an endpoint look slower.
	failurePenalty = 20
	// refusalPause keeps work from an endpoint that said it is full, about the time of a few runs' ends.
	refusalPause = 60 * time.Millisecond
	// leastSuspicion and mostSuspicion bound the time for which an unreachable endpoint gets nothing.
	leastSuspicion = 400 * time.Millisecond
	mostSuspicion  = 3 * time.Second
	// deadTold keeps work from an endpoint that another host says is dead, until some time after that host's next word.
	deadTold = 500 * time.Millisecond
	// movedPause keeps work from an endpoint whose address another one has, until its entry lapses or comes anew.
	movedPause = 5 * time.Second
	// silence is the time without an event of any run after which an endpoint gets nothing more, some times the longest step.
	silence = 700 * time.Millisecond
	// unseenSpan is how long a placement stays unknown to other hosts, their interval and the way.
	unseenSpan = 120 * time.Millisecond
	// unseenShare is the part of this host's placements that each other host is taken to make as well.
	unseenShare = 0.5
	// defaultSlots is taken for an endpoint that doesn't say.
	defaultSlots = 4
)

// endpoint is an endpoint with what this host knows of it.
type endpoint struct {
	Endpoint
	key uint32
	// running and prompt are this host's own runs and their tokens without a first event.
	running int
	prompt  dotterelpulley.Tokens
	// begun is how many of them have shown a first event.
	begun  int
	others Load
	// pace is the time per event, or per answer, of one run among many; zero if unknown.
	pace time.Duration
	// reading is the time per prompt token, from the dispatch to the first event; zero if unknown.
	reading  time.Duration
	failures float64
	// barred is until when it gets nothing.
	barred    time.Time
	unreached int
	// dead is until when this host tells the others that the endpoint refuses connections.
	dead time.Time
	// heard is when a run of this host last showed that the endpoint lives.
	heard time.Time
	// recent and recentPrompt are this host's own placements of late, fading since recentAt.
	recent       float64
	recentPrompt float64
	recentAt     time.Time
	// open and has are whether the endpoint may get work and what it is taken to have, for the decision under way.
	open bool
	has  backlog
}

// EndpointKey returns the short name of an endpoint in what hosts tell each other.
func EndpointKey(id dotterelpulley.EndpointID) uint32 {
	return shortName(string(id))
}

// shortName is what a service or an endpoint is called in what hosts tell each other.
func shortName(id string) uint32 {
	return uint32(xxhash.Sum64String(id))
}

func (e *endpoint) slots() int {
	if e.Slots > 0 {
		return e.Slots
	}
	return defaultSlots
}

func (e *endpoint) load() int {
	return e.running + e.others.Running
}

func (e *endpoint) usable(now time.Time) bool {
	return e.State == dotterelpulley.EndpointLive && !now.Before(e.barred) && !e.silent(now)
}

// silent reports whether the endpoint says nothing although it runs requests of this host.
func (e *endpoint) silent(now time.Time) bool {
	return e.running > 0 && e.begun > 0 && now.Sub(e.heard) > silence
}

// backlog is what an endpoint is taken to have, of this host and the others.
type backlog struct {
	runs float64
	// unread is the number of prompt tokens that it has yet to read.
	unread float64
}

// backlog adds to what is known what the other hosts may have placed since their last word: as much as this host, each.
func (e *endpoint) backlog(now time.Time, others int) backlog {
	b := backlog{runs: float64(e.load()), unread: float64(e.prompt + e.others.Prompt)}
	if e.recent == 0 || others == 0 {
		return b
	}
	unseen := e.fade(now) * float64(others) * unseenShare
	b.runs += e.recent * unseen
	b.unread += e.recentPrompt * unseen
	return b
}

// fade is the part of this host's recent placements that the others may not know of yet.
func (e *endpoint) fade(now time.Time) float64 {
	return math.Exp(-now.Sub(e.recentAt).Seconds() / unseenSpan.Seconds())
}

// placed counts a placement of this host.
func (e *endpoint) placed(now time.Time, prompt dotterelpulley.Tokens) {
	fade := e.fade(now)
	e.recent = e.recent*fade + 1
	e.recentPrompt = e.recentPrompt*fade + float64(prompt)
	e.recentAt = now
}

func (e *endpoint) bar(until time.Time) {
	if until.After(e.barred) {
		e.barred = until
	}
}

// ended takes the end of a run into account.
func (e *endpoint) ended(now time.Time, r Result) {
	switch r {
	case ResultCompleted:
		e.unreached, e.dead = 0, time.Time{}
		e.failures -= failureWeight * e.failures
	case ResultRefused:
		e.bar(now.Add(refusalPause))
	case ResultFailed:
		e.failures += failureWeight * (1 - e.failures)
	case ResultWrongInstance:
		e.bar(now.Add(movedPause))
	case ResultUnreachable, ResultDead:
		e.unreached++
		e.bar(now.Add(min(leastSuspicion<<min(e.unreached-1, 4), mostSuspicion)))
		if r == ResultDead {
			e.dead = e.barred
		}
	case ResultCancelled:
	}
}

// paced takes the time of one event or answer into account.
func (e *endpoint) paced(gap time.Duration) {
	if e.pace == 0 {
		e.pace = gap
		return
	}
	e.pace += time.Duration(paceWeight * float64(gap-e.pace))
}

// read takes the time that a run's first event took, with all the tokens that had to be read before it.
func (e *endpoint) read(took time.Duration, tokens dotterelpulley.Tokens) {
	if tokens < leastRead {
		return
	}
	sample := max(took-firstStep, 0) / time.Duration(tokens)
	if e.reading == 0 {
		e.reading = sample
		return
	}
	e.reading += time.Duration(readingWeight * float64(sample-e.reading))
}
