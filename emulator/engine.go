package emulator

import (
	"container/list"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

const (
	// stepBase is the time of a decoding step of an engine of speed 1 beside its requests' own.
	stepBase = 12 * time.Millisecond
	// stepPerRequest is what each decoding request adds to a step.
	stepPerRequest = 350 * time.Microsecond
	// stepPerPrompt is what each prompt token adds to a step.
	stepPerPrompt = 50 * time.Microsecond
	// stepPrompt bounds the prompt tokens of one step.
	stepPrompt  = 256
	engineSlots = 48
	// cacheTokens is the size of an engine's prefix cache.
	cacheTokens = 200_000
	// usualBatch is the batch at which a request's work is worked out.
	usualBatch = 24
)

// job is one request on an engine.
type job struct {
	request   *request
	prefill   int
	cached    int
	computed  int
	tokens    int
	first     time.Duration
	last      time.Duration
	cancelled bool
	// started and finished tell the router of the first and the last token.
	started  func()
	finished func()
}

// engine models continuous batching with a prefix cache.
type engine struct {
	clock *clock
	id    dotterelpulley.EndpointID
	speed float64
	lies  bool

	running []*job
	waiting []*job
	busy    bool
	cache   map[picker.PrefixHash]*list.Element
	recent  *list.List
	stored  []picker.PrefixHash
	// loadSum adds up load times time, for the mean.
	loadSum float64
	loadAt  time.Duration
	tell    func(gap time.Duration)
}

type cachedPrefix struct {
	hash   picker.PrefixHash
	tokens int
}

func newEngine(c *clock, id dotterelpulley.EndpointID, speed float64) *engine {
	return &engine{clock: c, id: id, speed: speed, cache: map[picker.PrefixHash]*list.Element{}, recent: list.New()}
}

func (e *engine) load() int {
	return len(e.running) + len(e.waiting)
}

func (e *engine) account() {
	e.loadSum += float64(e.load()) * (e.clock.elapsed - e.loadAt).Seconds()
	e.loadAt = e.clock.elapsed
}

func (e *engine) submit(j *job) {
	e.account()
	e.waiting = append(e.waiting, j)
	e.wake()
}

func (e *engine) cancel(j *job) {
	e.account()
	j.cancelled = true
	e.running = without(e.running, j)
	e.waiting = without(e.waiting, j)
}

func without(jobs []*job, gone *job) []*job {
	for i, j := range jobs {
		if j == gone {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}

func (e *engine) wake() {
	if e.busy {
		return
	}
	e.busy = true
	e.step()
}

// step admits what fits, shares the prompt budget in order and emits a token for each decoding request.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	batch := append([]*job(nil), e.running...)
	budget := stepPrompt
	var decoding []*job
	for _, j := range batch {
		if j.prefill > 0 {
			n := min(j.prefill, budget)
			j.prefill -= n
			j.computed += n
			budget -= n
		}
		if j.prefill == 0 {
			decoding = append(decoding, j)
		}
	}
	cost := stepBase + time.Duration(len(decoding))*stepPerRequest + time.Duration(stepPrompt-budget)*stepPerPrompt
	e.clock.after(time.Duration(float64(cost)/e.speed), func() {
		for _, j := range decoding {
			e.emit(j)
		}
		e.step()
	})
}

func (e *engine) admit() {
	for len(e.running) < engineSlots && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		j.cached = e.hit(j.request)
		j.prefill = max(j.request.prompt-j.cached, 1)
		e.running = append(e.running, j)
	}
}

func (e *engine) emit(j *job) {
	if j.cancelled {
		return
	}
	now := e.clock.elapsed
	if j.tokens == 0 {
		j.first = now
		e.store(j.request)
		j.started()
	} else if e.tell != nil {
		e.tell(now - j.last)
	}
	j.last = now
	j.tokens++
	if j.tokens >= j.request.output {
		e.account()
		e.running = without(e.running, j)
		j.finished()
	}
}

// hit returns how many prompt tokens the cache holds.
func (e *engine) hit(r *request) int {
	for place := len(r.prefixes) - 1; place >= 0; place-- {
		if at, ok := e.cache[r.prefixes[place]]; ok {
			e.recent.MoveToFront(at)
			return at.Value.(cachedPrefix).tokens
		}
	}
	return 0
}

func (e *engine) store(r *request) {
	for place, hash := range r.prefixes {
		if at, ok := e.cache[hash]; ok {
			e.recent.MoveToFront(at)
			continue
		}
		e.cache[hash] = e.recent.PushFront(cachedPrefix{hash: hash, tokens: 64 << place})
		e.stored = append(e.stored, hash)
	}
	for e.recent.Len() > cacheTokens/256 {
		oldest := e.recent.Back()
		delete(e.cache, oldest.Value.(cachedPrefix).hash)
		e.recent.Remove(oldest)
	}
}

// work returns the engine time of a request at the usual batch on an engine of speed 1.
func work(prompt, output int) time.Duration {
	each := stepBase/usualBatch + stepPerRequest
	return time.Duration(prompt)*stepPerPrompt + time.Duration(output)*each
}
