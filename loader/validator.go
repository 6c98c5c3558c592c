package loader

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Digest is the xxhash64 of a complete output.
type Digest uint64

// Event is one event of an answer.
type Event interface {
	event()
}

// Chunk is one chunk of a streamed answer.
type Chunk struct {
	Index int
	Text  string
}

// End is the end event of a streamed answer.
type End struct {
	Chunks  int
	Version dotterelpulley.VersionID
}

// Body is a complete unstreamed answer.
type Body struct {
	Output  string
	Chunks  int
	Version dotterelpulley.VersionID
}

// Failure means that the exchange failed, for example because the connection was lost or never made.
type Failure struct {
	Outcome Outcome
	Fault   string
}

func (Chunk) event()   {}
func (End) event()     {}
func (Body) event()    {}
func (Failure) event() {}
func (Refusal) event() {}

// Validator checks the events of one answer; set Expected before the first event.
type Validator struct {
	Expected Expectation

	text        strings.Builder
	chunks      int
	lastChunkAt time.Duration
	send        Send
	ended       bool
}

// Add processes the next event; its time counts from the arrival.
func (v *Validator) Add(at time.Duration, event Event) {
	if v.ended {
		return
	}
	switch e := event.(type) {
	case Chunk:
		v.addChunk(at, e)
	case End:
		v.validate(at, e)
	case Body:
		v.text.WriteString(e.Output)
		v.chunks = e.Chunks
		v.send.FirstToken = at
		v.validate(at, End{Chunks: e.Chunks, Version: e.Version})
	case Refusal:
		v.send.Refusal = e
		v.finish(at, OutcomeRefused, "")
	case Failure:
		v.finish(at, e.Outcome, e.Fault)
	}
}

// Send returns the validated send; an answer that has not ended counts as truncated.
func (v *Validator) Send() Send {
	if !v.ended {
		v.finish(v.lastChunkAt, OutcomeTruncated, "the answer ended without an end mark")
	}
	return v.send
}

func (v *Validator) addChunk(at time.Duration, c Chunk) {
	if c.Index != v.chunks {
		v.finish(at, OutcomeWrong, fmt.Sprintf("chunk %d came where %d was due", c.Index, v.chunks))
		return
	}
	if v.chunks == 0 {
		v.send.FirstToken = at
	} else {
		v.send.Gaps = append(v.send.Gaps, at-v.lastChunkAt)
	}
	v.chunks++
	v.lastChunkAt = at
	v.text.WriteString(c.Text)
}

func (v *Validator) validate(at time.Duration, e End) {
	v.send.Version = e.Version
	text := v.text.String()
	v.send.Digest = Digest(xxhash.Sum64String(text))
	if v.send.FirstToken == 0 {
		v.send.FirstToken = at
	}
	switch {
	case e.Chunks != v.chunks:
		v.finish(at, OutcomeWrong, fmt.Sprintf("%d chunks came where the end counts %d", v.chunks, e.Chunks))
	case v.Expected.Known && v.Expected.Chunks != v.chunks:
		v.finish(at, OutcomeWrong, fmt.Sprintf("%d chunks came where %d were asked for", v.chunks, v.Expected.Chunks))
	case v.Expected.Known && v.Expected.Text != text:
		v.finish(at, OutcomeWrong, fmt.Sprintf("%d bytes of text differ from the %d expected", len(text), len(v.Expected.Text)))
	default:
		v.finish(at, OutcomeCompleted, "")
	}
}

func (v *Validator) finish(at time.Duration, outcome Outcome, fault string) {
	v.ended = true
	v.send.EndedAt = at
	v.send.Outcome = outcome
	v.send.Fault = fault
}
