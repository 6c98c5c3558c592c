package spooler

import (
	"bytes"
	"io"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/abbreviator"
)

// maxLineBytes is the largest size of a line that is written whole.
const maxLineBytes = 16 << 10

// lineCleaner makes lines short and valid, whatever the texts in them are.
type lineCleaner struct {
	output io.Writer
}

// Write writes one line, which ends with a newline.
func (c lineCleaner) Write(line []byte) (int, error) {
	text := bytes.TrimSuffix(line, []byte("\n"))
	if len(line) > maxLineBytes {
		beginning := bytes.Map(blankControl, text[:abbreviator.Limit])
		return len(line), warn(c.output, func(e *log.Entry) *log.Entry {
			return e.Str("event", "log-line-too-long").Int("bytes", len(line)).Bytes("line", beginning)
		})
	}
	if bytes.ContainsFunc(text, isControl) {
		line = append(bytes.Map(blankControl, text), '\n')
	}
	return c.output.Write(line)
}

// isControl reports whether JSON doesn't allow the character, which the logger writes as it is.
func isControl(r rune) bool {
	return r < ' '
}

func blankControl(r rune) rune {
	if isControl(r) {
		return ' '
	}
	return r
}
