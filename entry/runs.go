package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// run is one request's life on the host that holds its key.
type run struct {
	request     dotterelpulley.Request
	fingerprint uint64
	output      *output
	ctx         context.Context
	cancel      context.CancelFunc

	watchers int
	left     time.Time
	ended    time.Time
}

// runs holds the live runs and, for a while, the ended ones by key.
type runs struct {
	mu    sync.Mutex
	byKey map[dotterelpulley.Key]*run
}

// attach returns the key's run and whether it is new; a key that stands for another request is refused.
func (t *runs) attach(ctx context.Context, req dotterelpulley.Request) (r *run, fresh bool, err *dotterelpulley.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mark := fingerprint(req)
	if r, ok := t.byKey[req.Key]; ok {
		if r.fingerprint != mark {
			return nil, false, dotterelpulley.Refuse(dotterelpulley.ErrorKeyReused, 0, "the key stands for another request")
		}
		r.watchers++
		return r, false, nil
	}
	if t.byKey == nil {
		t.byKey = map[dotterelpulley.Key]*run{}
	}
	r = &run{request: req, fingerprint: mark, output: newOutput(), watchers: 1}
	r.ctx, r.cancel = context.WithDeadline(ctx, req.Deadline)
	t.byKey[req.Key] = r
	return r, true, nil
}

// leave says that one watcher of the run has gone.
func (t *runs) leave(r *run, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.watchers--
	r.left = now
}

// end marks the run ended.
func (t *runs) end(r *run, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.ended = now
	r.cancel()
}

// forget removes a run that never started, so that its key may be tried again.
func (t *runs) forget(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.cancel()
	delete(t.byKey, r.request.Key)
}

// sweep cancels plans that nobody watches and forgets runs that ended long ago.
func (t *runs) sweep(now time.Time, timeouts Timeouts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, r := range t.byKey {
		if !r.ended.IsZero() {
			if now.Sub(r.ended) > timeouts.Linger {
				delete(t.byKey, key)
			}
			continue
		}
		abandoned := r.watchers == 0 && now.Sub(r.left) > timeouts.Abandon
		if abandoned && r.request.Kind == dotterelpulley.KindPlan {
			r.cancel()
		}
	}
}

// live returns the number of runs that have not ended.
func (t *runs) live() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.byKey {
		if r.ended.IsZero() {
			n++
		}
	}
	return n
}

// fingerprint tells two requests under one key apart.
func fingerprint(req dotterelpulley.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{req.Kind.String(), string(req.Service), string(req.Route), req.Prompt, string(req.Payload)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
