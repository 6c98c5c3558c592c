package emulator

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// ChunkedEngine configures an engine with chunked prefill: each step reads a chunk of the prompts and decodes a token of
// the running requests. The zero value selects the values of the users' engines.
type ChunkedEngine struct {
	// Slowness is the factor on all times; 1 if zero.
	Slowness float64
	// Slots is the maximum number of concurrent requests; 11 if zero.
	Slots int
	// StepTime is the base time of a step, StepTimePerRequest the time added by each decoding request; 3.79 ms and 89 us if zero.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// PrefillTokensPerMS is the number of prompt tokens read per millisecond; 56.6 if zero.
	PrefillTokensPerMS float64
	// MaxChunkTokens is the maximum number of prompt tokens read per step; 1,024 if zero.
	MaxChunkTokens int
	// TokensPerEvent is the number of tokens per event; 5 if zero.
	TokensPerEvent int
	// MemoryTokens is the number of tokens of shared prefixes that the engine keeps; 400,000 if zero.
	MemoryTokens int
}

func (c ChunkedEngine) withDefaults() ChunkedEngine {
	defaultInt := func(value *int, fallback int) {
		if *value == 0 {
			*value = fallback
		}
	}
	defaultDuration := func(value *time.Duration, fallback time.Duration) {
		if *value == 0 {
			*value = fallback
		}
	}
	if c.Slowness == 0 {
		c.Slowness = 1
	}
	if c.PrefillTokensPerMS == 0 {
		c.PrefillTokensPerMS = 56.6
	}
	defaultInt(&c.Slots, 11)
	defaultDuration(&c.StepTime, 3790*time.Microsecond)
	defaultDuration(&c.StepTimePerRequest, 89*time.Microsecond)
	defaultInt(&c.MaxChunkTokens, 1024)
	defaultInt(&c.TokensPerEvent, 5)
	defaultInt(&c.MemoryTokens, 400_000)
	return c
}

// chunkedRun is one request on a chunkedEngine.
type chunkedRun struct {
	prompt int
	prefix scheduler.Prefix
	// pendingPrompt is the number of prompt tokens still to read.
	pendingPrompt int
	tokens        int
	output        int
	cancelled     bool
	// onAdmitted is called when the request gets its slot, with whether the engine still has its prefix.
	onAdmitted func(kept bool)
	// onEvent is called for each event, onCompleted after the last one.
	onEvent     func()
	onCompleted func()
}

// chunkedEngine simulates a ChunkedEngine that admits requests in order of arrival.
type chunkedEngine struct {
	ChunkedEngine
	clock   *clock
	id      dotterelpulley.EndpointID
	running []*chunkedRun
	waiting []*chunkedRun
	busy    bool
	kept    keptPrefixes
}

func (e *chunkedEngine) add(r *chunkedRun) {
	e.waiting = append(e.waiting, r)
	e.admit()
	e.startStep()
}

func (e *chunkedEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.Slots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		kept := e.kept.use(r.prefix.Key)
		r.pendingPrompt = r.prompt
		if kept {
			// The last token is always read, as the first answer token follows from it.
			r.pendingPrompt = max(r.prompt-int(r.prefix.Tokens), 1)
		}
		if r.onAdmitted != nil {
			r.onAdmitted(kept)
		}
		e.running = append(e.running, r)
	}
}

func (e *chunkedEngine) startStep() {
	if e.busy || len(e.running) == 0 {
		return
	}
	e.busy = true
	prefilled, decoding := 0, 0
	var prefillDone []*chunkedRun
	for _, r := range e.running {
		if r.pendingPrompt == 0 {
			decoding++
			continue
		}
		n := min(r.pendingPrompt, e.MaxChunkTokens-prefilled)
		r.pendingPrompt -= n
		prefilled += n
		if r.pendingPrompt == 0 && n > 0 {
			prefillDone = append(prefillDone, r)
		}
	}
	step := float64(e.StepTime) + float64(e.StepTimePerRequest)*float64(decoding) + float64(prefilled)/e.PrefillTokensPerMS*float64(time.Millisecond)
	e.clock.schedule(time.Duration(step*e.Slowness), func() { e.finishStep(prefillDone) })
}

// finishStep ends a step: requests whose prompt is now read emit their first token, decoding requests their next one.
func (e *chunkedEngine) finishStep(prefillDone []*chunkedRun) {
	e.busy = false
	firstToken := map[*chunkedRun]bool{}
	for _, r := range prefillDone {
		firstToken[r] = true
		e.kept.add(r.prefix, e.MemoryTokens)
	}
	var completed []*chunkedRun
	remaining := e.running[:0]
	for _, r := range e.running {
		if r.cancelled {
			continue
		}
		if r.pendingPrompt == 0 {
			r.tokens++
			if firstToken[r] || r.tokens%e.TokensPerEvent == 0 || r.tokens >= r.output {
				r.onEvent()
			}
			if r.tokens >= r.output {
				completed = append(completed, r)
				continue
			}
		}
		remaining = append(remaining, r)
	}
	e.running = remaining
	for _, r := range completed {
		r.onCompleted()
	}
	e.admit()
	e.startStep()
}
