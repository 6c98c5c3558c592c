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

const cacheEventStored = "stored"

type wireCacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
}

type wireCacheEvents struct {
	Events []wireCacheEvent `json:"events"`
	Next   int64            `json:"next"`
}

// pollCaches fetches the new cache events of the engines in use.
func (e *Entry) pollCaches() {
	for _, endpoint := range e.queue.endpointsInUse() {
		if endpoint.kind == lister.KindEngine {
			e.tasks.Go(func() { e.pollCache(endpoint) })
		}
	}
}

func (e *Entry) pollCache(endpoint endpointInfo) {
	since := e.queue.cacheOffset(endpoint.ID)
	events, err := e.fetchCacheEvents(endpoint.Address, since)
	if err != nil {
		e.counters.Inc("cache-events-failed")
		return
	}
	e.queue.applyCacheEvents(time.Now(), endpoint.ID, events)
}

func (e *Entry) fetchCacheEvents(address dotterelpulley.Address, since int64) (wireCacheEvents, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/cache_events?since=%d", address, since))
	var w wireCacheEvents
	if err := e.pollClient.DoTimeout(req, resp, e.settings.Timeouts.LoadEvery); err != nil {
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

// cacheOffset returns the offset of the endpoint's next unread cache event.
func (q *queue) cacheOffset(id dotterelpulley.EndpointID) int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.cacheOffsets[id]
}

// applyCacheEvents applies an engine's cache events.
func (q *queue) applyCacheEvents(now time.Time, id dotterelpulley.EndpointID, events wireCacheEvents) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cacheOffsets == nil {
		q.cacheOffsets = map[dotterelpulley.EndpointID]int64{}
	}
	q.cacheOffsets[id] = events.Next
	for _, event := range events.Events {
		hash, err := picker.ParsePrefixHash(event.Prefix)
		if err != nil {
			q.counters.Inc("cache-event-invalid")
			continue
		}
		if event.Kind == cacheEventStored {
			q.picker.Cached(now, id, hash)
			continue
		}
		q.picker.Evicted(id, hash)
	}
}
