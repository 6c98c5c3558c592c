package loader

import (
	"strings"

	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

// Expectation is the required content of a complete answer; the zero value accepts any content.
type Expectation struct {
	Text   string
	Chunks int
	// Known reports whether Text and Chunks are checked.
	Known bool
}

// expect returns the answer of the stand-ins to the arrival.
func expect(a Arrival) Expectation {
	if a.OutputTokens == 0 {
		return Expectation{Text: standin.PlainResponse(string(a.Request.Payload)), Chunks: 1, Known: true}
	}
	tokens := standin.Output(a.Request.Prompt, int(a.Request.MaxTokens))
	return Expectation{Text: strings.Join(tokens, ""), Chunks: len(tokens), Known: true}
}
