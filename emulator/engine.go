package emulator

import (
	"container/list"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

const (
	// stepBase is the duration of a step at speed 1, without the time added by its requests and prompt tokens.
	stepBase = 12 * time.Millisecond
	// stepPerRequest is the time that each decoding request adds to a step.
	stepPerRequest = 350 * time.Microsecond
	// stepPerPromptToken is the time that each prompt token adds to a step.
	stepPerPromptToken = 50 * time.Microsecond
	// maxStepPrefill is the maximum number of prompt tokens per step.
	maxStepPrefill = 256
	engineSlots    = 48
	// cacheTokens is the capacity of an engine's prefix cache.
	cacheTokens = 200_000
	// referenceBatch is the batch size at which the engine time of a request is computed.
	referenceBatch = 24
)

// job is one request on an engine.
type job struct {
	request        *request
	pendingPrefill int
	cached         int
	computed       int
	tokens         int
	firstTokenAt   time.Duration
	lastTokenAt    time.Duration
	cancelled      bool
	// onFirstToken and onCompleted notify the entry host of the first and the last token.
	onFirstToken func()
	onCompleted  func()
}

// engine models continuous batching with a prefix cache.
type engine struct {
	clock           *clock
	id              dotterelpulley.EndpointID
	speed           float64
	reportsZeroLoad bool

	running     []*job
	waiting     []*job
	busy        bool
	cache       map[picker.PrefixHash]*list.Element
	lru         *list.List
	newPrefixes []picker.PrefixHash
	// loadSeconds is the integral of the load over time, for the mean.
	loadSeconds   float64
	loadUpdatedAt time.Duration
	onTokenGap    func(gap time.Duration)
}

type cachedPrefix struct {
	hash   picker.PrefixHash
	tokens int
}

func newEngine(c *clock, id dotterelpulley.EndpointID, speed float64) *engine {
	return &engine{clock: c, id: id, speed: speed, cache: map[picker.PrefixHash]*list.Element{}, lru: list.New()}
}

func (e *engine) load() int {
	return len(e.running) + len(e.waiting)
}

func (e *engine) updateLoadSeconds() {
	e.loadSeconds += float64(e.load()) * (e.clock.elapsed - e.loadUpdatedAt).Seconds()
	e.loadUpdatedAt = e.clock.elapsed
}

func (e *engine) submit(j *job) {
	e.updateLoadSeconds()
	e.waiting = append(e.waiting, j)
	e.start()
}

func (e *engine) cancel(j *job) {
	e.updateLoadSeconds()
	j.cancelled = true
	e.running = removeJob(e.running, j)
	e.waiting = removeJob(e.waiting, j)
}

func removeJob(jobs []*job, removed *job) []*job {
	for i, j := range jobs {
		if j == removed {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}

func (e *engine) start() {
	if e.busy {
		return
	}
	e.busy = true
	e.step()
}

// step admits waiting jobs, shares the prefill budget in order and emits a token for each decoding job.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.busy = false
		return
	}
	batch := append([]*job(nil), e.running...)
	budget := maxStepPrefill
	var decoding []*job
	for _, j := range batch {
		if j.pendingPrefill > 0 {
			n := min(j.pendingPrefill, budget)
			j.pendingPrefill -= n
			j.computed += n
			budget -= n
		}
		if j.pendingPrefill == 0 {
			decoding = append(decoding, j)
		}
	}
	cost := stepBase + time.Duration(len(decoding))*stepPerRequest + time.Duration(maxStepPrefill-budget)*stepPerPromptToken
	e.clock.schedule(time.Duration(float64(cost)/e.speed), func() {
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
		j.cached = e.cachedTokens(j.request)
		j.pendingPrefill = max(j.request.prompt-j.cached, 1)
		e.running = append(e.running, j)
	}
}

func (e *engine) emit(j *job) {
	if j.cancelled {
		return
	}
	now := e.clock.elapsed
	if j.tokens == 0 {
		j.firstTokenAt = now
		e.cachePrefixes(j.request)
		j.onFirstToken()
	} else if e.onTokenGap != nil {
		e.onTokenGap(now - j.lastTokenAt)
	}
	j.lastTokenAt = now
	j.tokens++
	if j.tokens >= j.request.output {
		e.updateLoadSeconds()
		e.running = removeJob(e.running, j)
		j.onCompleted()
	}
}

// cachedTokens returns the number of prompt tokens found in the cache.
func (e *engine) cachedTokens(r *request) int {
	for i := len(r.prefixes) - 1; i >= 0; i-- {
		if element, ok := e.cache[r.prefixes[i]]; ok {
			e.lru.MoveToFront(element)
			return element.Value.(cachedPrefix).tokens
		}
	}
	return 0
}

func (e *engine) cachePrefixes(r *request) {
	for i, hash := range r.prefixes {
		if element, ok := e.cache[hash]; ok {
			e.lru.MoveToFront(element)
			continue
		}
		e.cache[hash] = e.lru.PushFront(cachedPrefix{hash: hash, tokens: 64 << i})
		e.newPrefixes = append(e.newPrefixes, hash)
	}
	for e.lru.Len() > cacheTokens/256 {
		oldest := e.lru.Back()
		delete(e.cache, oldest.Value.(cachedPrefix).hash)
		e.lru.Remove(oldest)
	}
}

// engineTime returns the engine time of a request at the reference batch on an engine of speed 1.
func engineTime(prompt, output int) time.Duration {
	perOutputToken := stepBase/referenceBatch + stepPerRequest
	return time.Duration(prompt)*stepPerPromptToken + time.Duration(output)*perOutputToken
}
