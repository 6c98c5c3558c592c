package standin

import "time"

// job is one run of a request on an engine.
type job struct {
	id           string
	version      string
	route        string
	prompt       string
	run          *Run
	output       []string
	promptTokens int
	cachedTokens int
	prefilled    int
	emitted      int
	slowFactor   float64
	tokenCredit  float64
	fails        bool
	outcome      Outcome
	readers      int
	detachedAt   time.Time
	changed      chan struct{}
}

func (j *job) ended() bool {
	return j.outcome != OutcomeRunning
}

// batch simulates an engine's continuous batching: within a budget of tokens, every step
// prefills prompts and generates one token for each running job.
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

// step runs one step and returns the jobs whose prefill completed, and those that emitted a token or ended.
func (b *batch) step() (ready, changed []*job) {
	remaining := b.budget
	for _, j := range b.running {
		if j.prefilled >= j.promptTokens && remaining > 0 && j.mayEmit() {
			j.emit()
			remaining--
			changed = append(changed, j)
		}
	}
	for remaining > 0 {
		j := b.nextPrefill()
		if j == nil {
			break
		}
		remaining -= j.advancePrefill(remaining)
		if j.prefilled < j.promptTokens {
			break
		}
		b.cache.store(j.prompt)
		j.emit()
		ready = append(ready, j)
		changed = append(changed, j)
	}
	b.running = withoutEnded(b.running)
	return ready, changed
}

// nextPrefill returns the first job with an incomplete prefill, admitting a waiting job if none is left and a slot is free.
func (b *batch) nextPrefill() *job {
	for _, j := range b.running {
		if j.prefilled < j.promptTokens {
			return j
		}
	}
	if len(b.waiting) == 0 || len(b.running) >= b.slots {
		return nil
	}
	j := b.waiting[0]
	b.waiting = b.waiting[1:]
	b.running = append(b.running, j)
	j.cachedTokens = b.cache.cachedBytes(j.prompt) / bytesPerToken
	j.prefilled = min(j.cachedTokens, j.promptTokens-1)
	j.cachedTokens = j.prefilled
	return j
}

func (b *batch) removeEnded() {
	b.running = withoutEnded(b.running)
	b.waiting = withoutEnded(b.waiting)
}

func withoutEnded(jobs []*job) []*job {
	kept := jobs[:0]
	for _, j := range jobs {
		if !j.ended() {
			kept = append(kept, j)
		}
	}
	clear(jobs[len(kept):])
	return kept
}

func (j *job) advancePrefill(budget int) int {
	n := min(budget, j.promptTokens-j.prefilled)
	if j.slowFactor > 1 {
		n = max(1, int(float64(n)/j.slowFactor))
	}
	j.prefilled += n
	return n
}

// mayEmit reports whether the job emits a token in this step; a slow job emits one in every slowFactor steps on average.
func (j *job) mayEmit() bool {
	if j.slowFactor <= 1 {
		return true
	}
	j.tokenCredit += 1 / j.slowFactor
	if j.tokenCredit < 1 {
		return false
	}
	j.tokenCredit--
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
		j.outcome = OutcomeCompleted
	}
}
