package standin

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const shortestPrefix = 256

// prefixes returns the hashes of the prompt's first 256, 512, 1024, … bytes.
func prefixes(prompt string) []string {
	var hashes []string
	for n := shortestPrefix; n <= len(prompt); n *= 2 {
		hashes = append(hashes, strconv.FormatUint(xxhash.Sum64String(prompt[:n]), 16))
	}
	return hashes
}

// cacheEvent is one change of a prefix cache.
type cacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
	at     time.Time
}

const (
	cacheStored   = "stored"
	cacheRemoved  = "removed"
	maxCacheEvent = 4096
)

// prefixCache keeps the prefixes used last, up to a size in bytes.
type prefixCache struct {
	capacity int
	size     int
	order    list.List
	entries  map[string]*list.Element
	events   []cacheEvent
	seq      int64
}

type cacheEntry struct {
	prefix string
	bytes  int
}

// cached returns how many of the prompt's first bytes are kept.
func (c *prefixCache) cached(prompt string) int {
	found := 0
	n := shortestPrefix
	for _, p := range prefixes(prompt) {
		e, ok := c.entries[p]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		found = n
		n *= 2
	}
	return found
}

// store keeps the prompt's prefixes; each costs the bytes that it adds to the one before.
func (c *prefixCache) store(prompt string) {
	if c.entries == nil {
		c.entries = map[string]*list.Element{}
	}
	cost := shortestPrefix
	for i, p := range prefixes(prompt) {
		if i > 1 {
			cost *= 2
		}
		if e, ok := c.entries[p]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[p] = c.order.PushFront(cacheEntry{prefix: p, bytes: cost})
		c.size += cost
		c.note(cacheStored, p)
	}
	for c.size > c.capacity {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	e := c.order.Remove(c.order.Back()).(cacheEntry)
	delete(c.entries, e.prefix)
	c.size -= e.bytes
	c.note(cacheRemoved, e.prefix)
}

func (c *prefixCache) note(kind, prefix string) {
	c.seq++
	c.events = append(c.events, cacheEvent{Seq: c.seq, Kind: kind, Prefix: prefix, at: time.Now()})
	if len(c.events) > maxCacheEvent {
		c.events = c.events[len(c.events)-maxCacheEvent:]
	}
}

func (c *prefixCache) clear() {
	c.order.Init()
	c.entries = nil
	c.size = 0
}
