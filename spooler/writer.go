package spooler

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// Writer writes log lines without holding up who logs, and drops those for which there is no room; the zero value discards all.
// Close writes what is buffered. Warnings have a buffer of their own, so that a flood of other lines drops none of them.
type Writer struct {
	// Output gets whole lines, several at a time.
	Output io.Writer

	once     sync.Once
	lines    spool
	warnings spool
	// dropped counts all lines that were dropped, unreported those of which no line tells yet.
	dropped    atomic.Int64
	unreported atomic.Int64
}

// spoolOf returns the buffer for lines of the level.
func (w *Writer) spoolOf(level log.Level) *spool {
	w.once.Do(func() {
		if w.Output != nil {
			w.lines.output, w.warnings.output = w.Output, w.Output
		}
	})
	if level >= log.WarnLevel {
		return &w.warnings
	}
	return &w.lines
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// WriteEntry buffers a line.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	n, err := log.IOWriter{Writer: lineCleaner{w.spoolOf(e.Level)}}.WriteEntry(e)
	if err != nil {
		w.dropped.Add(1)
		w.unreported.Add(1)
		return n, err
	}
	w.reportDropped()
	return n, nil
}

// reportDropped logs how many lines have been dropped since the last report, now that there is room again.
func (w *Writer) reportDropped() {
	n := w.unreported.Swap(0)
	if n == 0 {
		return
	}
	if err := warn(w.spoolOf(log.WarnLevel), func(e *log.Entry) *log.Entry {
		return e.Str("event", "log-lines-dropped").Int64("lines", n)
	}); err != nil {
		w.unreported.Add(n)
	}
}

// Close writes the buffered lines.
func (w *Writer) Close() error {
	return errors.Join(w.spoolOf(log.InfoLevel).Close(), w.spoolOf(log.WarnLevel).Close())
}

// warn writes one warning with the fields that are added to it.
func warn(output io.Writer, fields func(*log.Entry) *log.Entry) (err error) {
	logger := log.Logger{Writer: log.WriterFunc(func(e *log.Entry) (n int, _ error) {
		n, err = log.IOWriter{Writer: output}.WriteEntry(e)
		return n, err
	})}
	fields(logger.Warn()).Msg("")
	return err
}
