package gateway

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/dotterelpulley/dotterelpulley/budgeter"
)

const (
	// ownBufferBytes is what each answer may hold on any host.
	ownBufferBytes = 32 << 10
	// sharedBufferBytes is what all answers of a host may hold together beyond that, a fraction of the smallest host's memory.
	sharedBufferBytes = 8 << 20
)

var errBuffersFull = errors.New("the host holds too many large answers at once")

// bufferBudget limits the bytes of answers that a host holds at once, as all of them may be large together; the zero value allows
// sharedBufferBytes.
type bufferBudget struct {
	used atomic.Int64
}

func (b *bufferBudget) reserve(bytes int64) bool {
	if b.used.Add(bytes) <= sharedBufferBytes {
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
	// account is that of the caller's connection.
	account *budgeter.Account
	// budget limits the bytes beyond ownBufferBytes; nil if only the account does.
	budget   *bufferBudget
	data     []byte
	reserved int64
}

// grow makes room for more bytes, up to the limit, and reports whether the budget allows it.
func (b *buffer) grow(more, limit int) bool {
	needed := len(b.data) + more
	if needed <= cap(b.data) {
		return true
	}
	size := min(max(2*cap(b.data), needed, readChunk), max(needed, limit))
	if needed <= ownBufferBytes {
		size = min(size, ownBufferBytes)
	}
	extra := max(int64(size)-ownBufferBytes-b.reserved, 0)
	if b.budget != nil && extra > 0 && !b.budget.reserve(extra) {
		return false
	}
	// Both arrays take memory until the old one is copied.
	if b.account.Reserve(budgeter.Bytes(size)) != nil {
		if b.budget != nil {
			b.budget.release(extra)
		}
		return false
	}
	if b.budget != nil {
		b.reserved += extra
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.account.Release(budgeter.Bytes(cap(b.data)))
	b.data = data
	return true
}

// readChunk is the least room for a read.
const readChunk = 4 << 10

// readFrom reads until the end, the limit or the budget is reached, and reports whether it was the end.
func (b *buffer) readFrom(r io.Reader, limit int) (whole bool, err error) {
	for len(b.data) < limit {
		if !b.grow(1, limit) {
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

// reset empties the buffer and keeps its room, unless that counts against the shared budget.
func (b *buffer) reset() {
	if b.reserved > 0 {
		b.release()
		return
	}
	b.data = b.data[:0]
}

// release gives the room back.
func (b *buffer) release() {
	b.account.Release(budgeter.Bytes(cap(b.data)))
	b.data = nil
	if b.budget != nil {
		b.budget.release(b.reserved)
	}
	b.reserved = 0
}
