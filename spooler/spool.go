package spooler

import (
	"errors"
	"io"
	"sync"
)

// maxSpoolBytes limits what one spool buffers, and again what it is writing.
const maxSpoolBytes = 2 << 20

var (
	errFull   = errors.New("the buffer for log lines is full")
	errClosed = errors.New("the buffer for log lines is closed")
)

// spool buffers lines and writes them in the background, several at a time; without an output, they are discarded.
type spool struct {
	output io.Writer

	mutex   sync.Mutex
	once    sync.Once
	lines   []byte
	changed chan struct{}
	closed  bool
	done    chan struct{}
	err     error
}

func (s *spool) init() {
	if s.output == nil {
		s.output = io.Discard
	}
	s.changed, s.done = make(chan struct{}, 1), make(chan struct{})
	go s.run()
}

// Write buffers a copy of the line, or returns an error if there is no room for it.
func (s *spool) Write(line []byte) (int, error) {
	s.once.Do(s.init)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.closed:
		return 0, errClosed
	case len(s.lines)+len(line) > maxSpoolBytes:
		return 0, errFull
	}
	s.lines = append(s.lines, line...)
	s.notify()
	return len(line), nil
}

// notify wakes the writer; the mutex must be held.
func (s *spool) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// run writes what is buffered until the spool is closed and empty.
func (s *spool) run() {
	defer close(s.done)
	var writing []byte
	for range s.changed {
		s.mutex.Lock()
		writing, s.lines = s.lines, writing[:0]
		closed := s.closed
		s.mutex.Unlock()
		if len(writing) > 0 {
			_, s.err = s.output.Write(writing)
		}
		if closed {
			return
		}
	}
}

// Close writes what is buffered and returns the error of the last write; lines that come later are refused.
func (s *spool) Close() error {
	s.once.Do(s.init)
	s.mutex.Lock()
	s.closed = true
	s.notify()
	s.mutex.Unlock()
	<-s.done
	return s.err
}
