package picker

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PrefixHash is the xxhash64 of the first 256, 512, 1024, … bytes of a prompt.
type PrefixHash uint64

const (
	shortestPrefix = 256
	// maxPrefixes bounds the prefixes kept of one prompt, the longest being 256 KiB.
	maxPrefixes = 11
	// holdersPerPrefix bounds the endpoints recorded for one prefix.
	holdersPerPrefix = 4
	defaultMapSize   = 32768
	// cacheHalfLife is the time in which the confidence that a prefix is still cached halves.
	cacheHalfLife = 2 * time.Minute
)

// ParsePrefixHash parses a prefix hash in the format of cache events.
func ParsePrefixHash(hex string) (PrefixHash, error) {
	v, err := strconv.ParseUint(hex, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("prefix hash %q: %w", hex, err)
	}
	return PrefixHash(v), nil
}

// Prefixes returns the hashes of the prompt's prefixes, the shortest first.
func Prefixes(prompt string) []PrefixHash {
	var hashes []PrefixHash
	for size := shortestPrefix; size <= len(prompt) && len(hashes) < maxPrefixes; size *= 2 {
		hashes = append(hashes, PrefixHash(xxhash.Sum64String(prompt[:size])))
	}
	return hashes
}

// prefixBytes returns the length of the prefix at the index.
func prefixBytes(index int) int {
	return shortestPrefix << index
}

type holder struct {
	index int32
	seen  time.Time
}

// holders are the endpoints that may have one prefix in their caches.
type holders struct {
	list  [holdersPerPrefix]holder
	count int
}

func (h *holders) add(now time.Time, index int32) {
	oldest := 0
	for i := range h.count {
		if h.list[i].index == index {
			h.list[i].seen = now
			return
		}
		if h.list[i].seen.Before(h.list[oldest].seen) {
			oldest = i
		}
	}
	if h.count < holdersPerPrefix {
		oldest = h.count
		h.count++
	}
	h.list[oldest] = holder{index: index, seen: now}
}

func (h *holders) remove(index int32) {
	for i := range h.count {
		if h.list[i].index == index {
			h.count--
			h.list[i] = h.list[h.count]
			return
		}
	}
}

// prefixMap maps prefixes to holders in two generations, which bounds its size.
type prefixMap struct {
	max   int
	young map[PrefixHash]*holders
	old   map[PrefixHash]*holders
}

func (m *prefixMap) get(hash PrefixHash) *holders {
	if h, ok := m.young[hash]; ok {
		return h
	}
	return m.old[hash]
}

func (m *prefixMap) add(now time.Time, hash PrefixHash, index int32) {
	h := m.get(hash)
	if h == nil {
		h = &holders{}
	}
	h.add(now, index)
	if m.young == nil || len(m.young) >= m.limit()/2 {
		m.old = m.young
		m.young = map[PrefixHash]*holders{}
	}
	m.young[hash] = h
}

func (m *prefixMap) limit() int {
	if m.max > 0 {
		return m.max
	}
	return defaultMapSize
}

func (m *prefixMap) remove(hash PrefixHash, index int32) {
	if h := m.get(hash); h != nil {
		h.remove(index)
	}
}

// confidence returns the estimated probability that a prefix is still cached.
func confidence(now, seen time.Time) float64 {
	return math.Exp2(-float64(now.Sub(seen)) / float64(cacheHalfLife))
}
