package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

const cacheStored = "stored"

type wireCacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
}

type wireCacheEvents struct {
	Events []wireCacheEvent `json:"events"`
	Next   int64            `json:"next"`
}

// pollCaches reads what the engines in use have cached since the last time.
func (e *Entry) pollCaches() {
	for _, k := range e.queue.used() {
		if k.kind == lister.KindEngine {
			e.wait.Go(func() { e.pollCache(k) })
		}
	}
}

func (e *Entry) pollCache(k known) {
	since := e.queue.cacheSeen(k.ID)
	events, err := e.fetchCacheEvents(k.Address, since)
	if err != nil {
		e.counters.Inc("cache-events-failed")
		return
	}
	e.queue.cached(time.Now(), k.ID, events)
}

func (e *Entry) fetchCacheEvents(address dotterelpulley.Address, since int64) (wireCacheEvents, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/cache_events?since=%d", address, since))
	var w wireCacheEvents
	if err := e.reports.DoTimeout(req, resp, e.settings.Timeouts.LoadEvery); err != nil {
		return w, fmt.Errorf("fetch cache events of %q: %w", address, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return w, fmt.Errorf("fetch cache events of %q: status %d", address, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &w); err != nil {
		return w, fmt.Errorf("decode cache events of %q: %w", address, err)
	}
	return w, nil
}

// cacheSeen returns from where on the endpoint's cache events are new.
func (q *queue) cacheSeen(id dotterelpulley.EndpointID) int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.caches[id]
}

// cached takes over an engine's cache events.
func (q *queue) cached(now time.Time, id dotterelpulley.EndpointID, events wireCacheEvents) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.caches == nil {
		q.caches = map[dotterelpulley.EndpointID]int64{}
	}
	q.caches[id] = events.Next
	for _, event := range events.Events {
		hash, err := picker.ParsePrefixHash(event.Prefix)
		if err != nil {
			q.counters.Inc("cache-event-invalid")
			continue
		}
		if event.Kind == cacheStored {
			q.picker.Cached(now, id, hash)
			continue
		}
		q.picker.Evicted(id, hash)
	}
}
