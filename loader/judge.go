package loader

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Digest is the xxhash64 of a whole output.
type Digest uint64

// Event is one thing that an answer says or does.
type Event interface {
	event()
}

// Chunk is a piece of a streamed answer.
type Chunk struct {
	Index int
	Text  string
}

// End is a streamed answer's end mark.
type End struct {
	Chunks  int
	Version dotterelpulley.VersionID
}

// Body is a whole unstreamed answer.
type Body struct {
	Output  string
	Chunks  int
	Version dotterelpulley.VersionID
}

// Lost means that the connection ended, or never came to be.
type Lost struct {
	Outcome Outcome
	Fault   string
}

func (Chunk) event()   {}
func (End) event()     {}
func (Body) event()    {}
func (Lost) event()    {}
func (Refused) event() {}

// Judge takes one answer's events and judges it; set Expect before the first event.
type Judge struct {
	Expect Expectation

	text   strings.Builder
	chunks int
	last   time.Duration
	send   Send
	ended  bool
}

// Take takes the next event at a time counted from the arrival.
func (j *Judge) Take(at time.Duration, event Event) {
	if j.ended {
		return
	}
	switch e := event.(type) {
	case Chunk:
		j.chunk(at, e)
	case End:
		j.whole(at, e)
	case Body:
		j.text.WriteString(e.Output)
		j.chunks = e.Chunks
		j.send.FirstToken = at
		j.whole(at, End{Chunks: e.Chunks, Version: e.Version})
	case Refused:
		j.send.Refused = e
		j.end(at, OutcomeRefused, "")
	case Lost:
		j.end(at, e.Outcome, e.Fault)
	}
}

// Send returns the judged send; an answer that has not ended counts as cut.
func (j *Judge) Send() Send {
	if !j.ended {
		j.end(j.last, OutcomeCut, "the answer ended without an end mark")
	}
	return j.send
}

func (j *Judge) chunk(at time.Duration, c Chunk) {
	if c.Index != j.chunks {
		j.end(at, OutcomeWrong, fmt.Sprintf("chunk %d came where %d was due", c.Index, j.chunks))
		return
	}
	if j.chunks == 0 {
		j.send.FirstToken = at
	} else {
		j.send.Gaps = append(j.send.Gaps, at-j.last)
	}
	j.chunks++
	j.last = at
	j.text.WriteString(c.Text)
}

func (j *Judge) whole(at time.Duration, e End) {
	j.send.Version = e.Version
	text := j.text.String()
	j.send.Digest = Digest(xxhash.Sum64String(text))
	if j.send.FirstToken == 0 {
		j.send.FirstToken = at
	}
	switch {
	case e.Chunks != j.chunks:
		j.end(at, OutcomeWrong, fmt.Sprintf("%d chunks came where the end counts %d", j.chunks, e.Chunks))
	case j.Expect.Known && j.Expect.Chunks != j.chunks:
		j.end(at, OutcomeWrong, fmt.Sprintf("%d chunks came where %d were asked for", j.chunks, j.Expect.Chunks))
	case j.Expect.Known && j.Expect.Text != text:
		j.end(at, OutcomeWrong, fmt.Sprintf("%d bytes of text differ from the %d expected", len(text), len(j.Expect.Text)))
	default:
		j.end(at, OutcomeWhole, "")
	}
}

func (j *Judge) end(at time.Duration, outcome Outcome, fault string) {
	j.ended = true
	j.send.Ended = at
	j.send.Outcome = outcome
	j.send.Fault = fault
}
