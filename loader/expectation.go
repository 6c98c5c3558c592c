package loader

import (
	"strings"

	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

// Expectation is what a whole answer must be; the zero value leaves the content open.
type Expectation struct {
	Text   string
	Chunks int
	// Known tells that Text and Chunks are what must come.
	Known bool
}

// expect returns what the stand-ins answer to the arrival.
func expect(a Arrival) Expectation {
	if a.Output == 0 {
		return Expectation{Text: standin.Reply(string(a.Request.Payload)), Chunks: 1, Known: true}
	}
	tokens := standin.Output(a.Request.Prompt, int(a.Request.MaxTokens))
	return Expectation{Text: strings.Join(tokens, ""), Chunks: len(tokens), Known: true}
}
