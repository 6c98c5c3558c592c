package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
)

// sseEvent is one server-sent event; data holds its unchanged bytes.
type sseEvent struct {
	data []byte
	id   string
	// idTooLong is true if the event has an id beyond lineChunk, which isn't kept.
	idTooLong bool
	// comment is true if the event has no field at all, so that it is no part of the answer.
	comment bool
	// continued is true if the data goes on with the event before, which came in parts.
	continued bool
}

// maxEventBytes is the largest size of an event.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("event exceeds the size limit")

// eventReader reads the events of one answer within a budget; release must be called.
type eventReader struct {
	reader *bufio.Reader
	buffer
	// inParts makes next return a large event in parts, which need no room in the budget.
	inParts bool
	// continuing is true while an event has been returned in part, inLine while a line has been read in part.
	continuing bool
	inLine     bool
	// eventBytes counts the bytes of the current event, commentBytes those since the last event that was no comment.
	eventBytes   int
	commentBytes int
}

// lineChunk is the most that is read of a line at once.
const lineChunk = 4 << 10

// newEventReader returns a reader of the body that holds events in the buffer.
func newEventReader(within buffer, body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, lineChunk), buffer: within}
}

// next returns the next complete event or a part of it, valid until the next call; io.EOF without data is the regular end of
// the stream.
func (r *eventReader) next() (sseEvent, error) {
	r.reset()
	e := sseEvent{comment: !r.continuing, continued: r.continuing}
	if !r.continuing {
		r.eventBytes = 0
	}
	for {
		if r.inParts && !e.comment && len(r.data)+lineChunk > ownBufferBytes {
			r.continuing = true
			return e, nil
		}
		if !r.grow(lineChunk, math.MaxInt) {
			return e, errBuffersFull
		}
		line, err := r.reader.ReadSlice('\n')
		r.data = append(r.data, line...)
		e.data = r.data
		if r.eventBytes += len(line); r.eventBytes > maxEventBytes {
			return e, errEventTooLarge
		}
		atStart := !r.inLine
		r.inLine = errors.Is(err, bufio.ErrBufferFull)
		text := bytes.TrimRight(line, "\r\n")
		e.comment = e.comment && (!atStart || len(text) == 0 || text[0] == ':')
		if r.inLine {
			e.idTooLong = e.idTooLong || atStart && bytes.HasPrefix(text, []byte("id:"))
			continue
		}
		if errors.Is(err, io.EOF) && r.eventBytes > 0 {
			return e, io.ErrUnexpectedEOF
		}
		if err != nil {
			return e, err
		}
		if atStart && len(text) == 0 {
			r.continuing = false
			return e, r.countComments(e)
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok && atStart {
			e.id = string(bytes.TrimSpace(id))
		}
	}
}

// countComments returns an error if comments without an event between them exceed the size of an event.
func (r *eventReader) countComments(e sseEvent) error {
	if !e.comment {
		r.commentBytes = 0
		return nil
	}
	if r.commentBytes += len(e.data); r.commentBytes > maxEventBytes {
		return errEventTooLarge
	}
	return nil
}
