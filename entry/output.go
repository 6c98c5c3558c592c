package entry

import (
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// answerEnd describes a complete answer.
type answerEnd struct {
	chunks   int
	version  dotterelpulley.VersionID
	endpoint dotterelpulley.EndpointID
}

// output holds the answer of one run while it is received; any number of readers can follow it.
type output struct {
	mu      sync.Mutex
	chunks  []string
	first   time.Time
	last    time.Time
	end     *answerEnd
	refusal *dotterelpulley.Refusal
	changed chan struct{}
	// dropped is the number of chunks that were duplicated, out of order or received after the end.
	dropped int
	// firstChunkHook is called once, when the first chunk arrives.
	firstChunkHook func()
}

func newOutput() *output {
	return &output{changed: make(chan struct{})}
}

// put appends the chunk with the given index. It drops a chunk that is a duplicate, leaves a gap or arrives after the
// end, and returns false.
func (o *output) put(index int, text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended() || index != len(o.chunks) {
		o.dropped++
		return false
	}
	o.last = time.Now()
	if index == 0 {
		o.first = o.last
		o.callFirstChunkHook()
	}
	o.chunks = append(o.chunks, text)
	o.notify()
	return true
}

func (o *output) callFirstChunkHook() {
	if o.firstChunkHook != nil {
		o.firstChunkHook()
	}
}

// setFirstChunkHook sets the function that is called when the first chunk arrives. The function must not use the output,
// because the output's lock is held.
func (o *output) setFirstChunkHook(hook func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.firstChunkHook = hook
}

// times returns when the first and the last chunk arrived, and the number of chunks.
func (o *output) times() (first, last time.Time, chunks int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.first, o.last, len(o.chunks)
}

// finish marks the answer as complete; it has no effect on an output that has ended.
func (o *output) finish(e answerEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended() {
		return
	}
	e.chunks = len(o.chunks)
	o.end = &e
	o.notify()
}

// fail ends the answer with a refusal; it has no effect on an output that has ended.
func (o *output) fail(refusal *dotterelpulley.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended() {
		return
	}
	o.refusal = refusal
	o.notify()
}

func (o *output) ended() bool {
	return o.end != nil || o.refusal != nil
}

func (o *output) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// view is the content of an output from a given chunk on.
type view struct {
	chunks  []string
	end     *answerEnd
	refusal *dotterelpulley.Refusal
	changed <-chan struct{}
}

func (v view) ended() bool {
	return v.end != nil || v.refusal != nil
}

// from returns the content from the given chunk on; its changed channel is closed at the next change.
func (o *output) from(chunk int) view {
	o.mu.Lock()
	defer o.mu.Unlock()
	return view{
		chunks:  o.chunks[chunk:len(o.chunks):len(o.chunks)],
		end:     o.end,
		refusal: o.refusal,
		changed: o.changed,
	}
}

// droppedChunks returns the number of chunks that were dropped.
func (o *output) droppedChunks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// length returns the number of chunks received so far.
func (o *output) length() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.chunks)
}
