package gateway

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/dotterelpulley/dotterelpulley/platform"
)

const (
	// ownBufferBytes is what each answer or body may hold on any host.
	ownBufferBytes = 32 << 10
	// sharedBufferBytes is what all answers of a host may hold together beyond that, a fraction of the smallest host's memory.
	sharedBufferBytes = 8 << 20
	// sharedBodyFraction is the fraction of a host's memory that the bodies of callers' requests may hold together, beyond
	// ownBufferBytes of each; sharedBodyBytes applies if the memory is unknown.
	sharedBodyFraction = 0.25
	sharedBodyBytes    = 32 << 20
)

var errBuffersFull = errors.New("the host holds too many large answers at once")

// bufferBudget limits the bytes of answers or bodies that a host holds at once, as all of them may be large together; the
// zero value allows sharedBufferBytes.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

// bodyBudget returns the limit of the bodies that a host with the memory may hold.
func bodyBudget(memory platform.Bytes) int64 {
	if memory <= 0 {
		return sharedBodyBytes
	}
	return int64(sharedBodyFraction * float64(memory))
}

func (b *bufferBudget) reserve(bytes int64) bool {
	limit := b.limit
	if limit == 0 {
		limit = sharedBufferBytes
	}
	if b.used.Add(bytes) <= limit {
		return true
	}
	b.used.Add(-bytes)
	return false
}

func (b *bufferBudget) release(bytes int64) {
	b.used.Add(-bytes)
}

// buffer holds an answer or a body, or a part of it, within the budget; release must be called.
type buffer struct {
	budget   *bufferBudget
	data     []byte
	reserved int64
}

// grow makes room for more bytes and reports whether the budget allows it.
func (b *buffer) grow(more int) bool {
	needed := len(b.data) + more
	if needed <= cap(b.data) {
		return true
	}
	size := max(2*cap(b.data), needed, readChunk)
	if needed <= ownBufferBytes {
		size = min(size, ownBufferBytes)
	}
	if extra := int64(size) - ownBufferBytes - b.reserved; extra > 0 {
		if !b.budget.reserve(extra) {
			return false
		}
		b.reserved += extra
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return true
}

// readChunk is the least room for a read.
const readChunk = 4 << 10

// readFrom reads until the end, the limit or the budget is reached, and reports whether it was the end.
func (b *buffer) readFrom(r io.Reader, limit int) (whole bool, err error) {
	for len(b.data) < limit {
		if !b.grow(1) {
			return false, nil
		}
		n, err := r.Read(b.data[len(b.data):min(cap(b.data), limit)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// reset empties the buffer and keeps its room, unless that counts against the budget.
func (b *buffer) reset() {
	if b.reserved > 0 {
		b.release()
		return
	}
	b.data = b.data[:0]
}

// release gives the room back.
func (b *buffer) release() {
	b.data = nil
	b.budget.release(b.reserved)
	b.reserved = 0
}
