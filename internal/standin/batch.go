package standin

import "time"

// job is one run of a request on an engine.
type job struct {
	id       string
	version  string
	route    string
	prompt   string
	entry    *Run
	output   []string
	total    int
	cached   int
	prefill  int
	emitted  int
	slow     float64
	credit   float64
	fails    bool
	outcome  Outcome
	readers  int
	detached time.Time
	changed  chan struct{}
}

func (j *job) ended() bool {
	return j.outcome != OutcomeRunning
}

// batch is an engine's continuous batching: every step works through prompts and
// gives each running job one token, within a budget of tokens.
type batch struct {
	slots   int
	budget  int
	cache   prefixCache
	running []*job
	waiting []*job
}

func (b *batch) idle() bool {
	return len(b.running) == 0 && len(b.waiting) == 0
}

// step runs one step and returns the jobs whose prompts became ready, and those that gave a token or ended.
func (b *batch) step() (ready, moved []*job) {
	left := b.budget
	for _, j := range b.running {
		if j.prefill >= j.total && left > 0 && j.mayEmit() {
			j.emit()
			left--
			moved = append(moved, j)
		}
	}
	for left > 0 {
		j := b.nextPrefill()
		if j == nil {
			break
		}
		left -= j.work(left)
		if j.prefill < j.total {
			break
		}
		b.cache.store(j.prompt)
		j.emit()
		ready = append(ready, j)
		moved = append(moved, j)
	}
	b.running = keepLive(b.running)
	return ready, moved
}

// nextPrefill returns the first job whose prompt is not worked through, admitting waiting ones while there are slots.
func (b *batch) nextPrefill() *job {
	for _, j := range b.running {
		if j.prefill < j.total {
			return j
		}
	}
	if len(b.waiting) == 0 || len(b.running) >= b.slots {
		return nil
	}
	j := b.waiting[0]
	b.waiting = b.waiting[1:]
	b.running = append(b.running, j)
	j.cached = b.cache.cached(j.prompt) / bytesPerToken
	j.prefill = min(j.cached, j.total-1)
	j.cached = j.prefill
	return j
}

func (b *batch) remove() {
	b.running = keepLive(b.running)
	b.waiting = keepLive(b.waiting)
}

func keepLive(jobs []*job) []*job {
	kept := jobs[:0]
	for _, j := range jobs {
		if !j.ended() {
			kept = append(kept, j)
		}
	}
	clear(jobs[len(kept):])
	return kept
}

func (j *job) work(budget int) int {
	n := min(budget, j.total-j.prefill)
	if j.slow > 1 {
		n = max(1, int(float64(n)/j.slow))
	}
	j.prefill += n
	return n
}

// mayEmit reports whether a job gets a token in this step; a slow one gets it only now and then.
func (j *job) mayEmit() bool {
	if j.slow <= 1 {
		return true
	}
	j.credit += 1 / j.slow
	if j.credit < 1 {
		return false
	}
	j.credit--
	return true
}

func (j *job) emit() {
	if j.fails {
		j.outcome = OutcomeFailed
		return
	}
	if j.emitted < len(j.output) {
		j.emitted++
	}
	if j.emitted == len(j.output) {
		j.outcome = OutcomeWhole
	}
}
