package entry

import (
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// end is the end mark of a whole answer.
type end struct {
	chunks   int
	version  dotterelpulley.VersionID
	endpoint dotterelpulley.EndpointID
}

// output is one run's answer as it grows; any number of readers follow it.
type output struct {
	mu      sync.Mutex
	chunks  []string
	first   time.Time
	last    time.Time
	whole   *end
	refusal *dotterelpulley.Refusal
	changed chan struct{}
	// dropped is the number of chunks that came doubled, out of turn or after the end.
	dropped int
	// begun is called once, when the first chunk comes.
	begun func()
}

func newOutput() *output {
	return &output{changed: make(chan struct{})}
}

// put adds the chunk at the index; a chunk that is already there, or leaves a gap, is dropped and put reports false.
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
		o.begin()
	}
	o.chunks = append(o.chunks, text)
	o.wake()
	return true
}

func (o *output) begin() {
	if o.begun != nil {
		o.begun()
	}
}

// onBegin has do called when the first chunk comes; do must not use the output.
func (o *output) onBegin(do func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun = do
}

// times returns when the first and the newest chunk came, and how many have.
func (o *output) times() (first, last time.Time, chunks int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.first, o.last, len(o.chunks)
}

// finish marks the answer whole.
func (o *output) finish(e end) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended() {
		return
	}
	e.chunks = len(o.chunks)
	o.whole = &e
	o.wake()
}

// fail ends the answer with a refusal.
func (o *output) fail(r *dotterelpulley.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended() {
		return
	}
	o.refusal = r
	o.wake()
}

func (o *output) ended() bool {
	return o.whole != nil || o.refusal != nil
}

func (o *output) wake() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// view is what stands in an output from a chunk on.
type view struct {
	chunks  []string
	whole   *end
	refusal *dotterelpulley.Refusal
	changed <-chan struct{}
}

func (v view) ended() bool {
	return v.whole != nil || v.refusal != nil
}

// from returns what stands from the chunk on; changed is closed when more comes.
func (o *output) from(chunk int) view {
	o.mu.Lock()
	defer o.mu.Unlock()
	return view{
		chunks:  o.chunks[chunk:len(o.chunks):len(o.chunks)],
		whole:   o.whole,
		refusal: o.refusal,
		changed: o.changed,
	}
}

// late returns the number of chunks that were dropped.
func (o *output) late() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// length returns the number of chunks so far.
func (o *output) length() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.chunks)
}
