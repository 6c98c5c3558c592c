package standin

import (
	"container/list"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const minPrefixBytes = 256

// prefixes returns the hashes of the prompt's first 256, 512, 1024, … bytes.
func prefixes(prompt string) []string {
	var hashes []string
	for n := minPrefixBytes; n <= len(prompt); n *= 2 {
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
	cacheStored    = "stored"
	cacheRemoved   = "removed"
	maxCacheEvents = 4096
)

// prefixCache is an LRU cache of prompt prefixes with a capacity in bytes.
type prefixCache struct {
	capacity int
	size     int
	recency  list.List
	entries  map[string]*list.Element
	events   []cacheEvent
	seq      int64
}

type cacheEntry struct {
	prefix string
	bytes  int
}

// cachedBytes returns the length of the longest cached prefix of the prompt.
func (c *prefixCache) cachedBytes(prompt string) int {
	found := 0
	n := minPrefixBytes
	for _, p := range prefixes(prompt) {
		e, ok := c.entries[p]
		if !ok {
			break
		}
		c.recency.MoveToFront(e)
		found = n
		n *= 2
	}
	return found
}

// store adds the prompt's prefixes; the cost of each is the bytes that it adds to the shorter one.
func (c *prefixCache) store(prompt string) {
	if c.entries == nil {
		c.entries = map[string]*list.Element{}
	}
	cost := minPrefixBytes
	for i, p := range prefixes(prompt) {
		if i > 1 {
			cost *= 2
		}
		if e, ok := c.entries[p]; ok {
			c.recency.MoveToFront(e)
			continue
		}
		c.entries[p] = c.recency.PushFront(cacheEntry{prefix: p, bytes: cost})
		c.size += cost
		c.addEvent(cacheStored, p)
	}
	for c.size > c.capacity {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	e := c.recency.Remove(c.recency.Back()).(cacheEntry)
	delete(c.entries, e.prefix)
	c.size -= e.bytes
	c.addEvent(cacheRemoved, e.prefix)
}

func (c *prefixCache) addEvent(kind, prefix string) {
	c.seq++
	c.events = append(c.events, cacheEvent{Seq: c.seq, Kind: kind, Prefix: prefix, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *prefixCache) clear() {
	c.recency.Init()
	c.entries = nil
	c.size = 0
}
