package gateway

import (
	"errors"
	"io"

	"github.com/phuslu/log"
)

// logBufferLines is the number of lines of each kind that are buffered for the output; further ones are dropped.
const logBufferLines = 4096

// LogWriter writes log lines without holding up requests; Close writes what is buffered. Warnings, among them all lines of
// requests that go to a second endpoint, have a buffer of their own, so that a flood of other lines drops none of them.
type LogWriter struct {
	lines    log.AsyncWriter
	warnings log.AsyncWriter
}

// NewLogWriter returns a writer to the output, which gets one line a call.
func NewLogWriter(output io.Writer) *LogWriter {
	buffered := func() log.AsyncWriter {
		return log.AsyncWriter{ChannelSize: logBufferLines, DiscardOnFull: true, Writer: log.IOWriter{Writer: output}}
	}
	return &LogWriter{lines: buffered(), warnings: buffered()}
}

// WriteEntry buffers a line.
func (w *LogWriter) WriteEntry(e *log.Entry) (int, error) {
	if e.Level >= log.WarnLevel {
		return w.warnings.WriteEntry(e)
	}
	return w.lines.WriteEntry(e)
}

// Close writes the buffered lines.
func (w *LogWriter) Close() error {
	return errors.Join(w.lines.Close(), w.warnings.Close())
}
