package emulator

import (
	"slices"

	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// keptPrefixes holds the prefixes that an engine has read and still keeps, the least recently used first.
type keptPrefixes struct {
	prefixes []scheduler.Prefix
	tokens   int
}

// use reports whether the prefix is kept, and makes it the most recently used one.
func (k *keptPrefixes) use(key scheduler.PrefixKey) bool {
	i := slices.IndexFunc(k.prefixes, func(p scheduler.Prefix) bool { return p.Key == key })
	if key == 0 || i < 0 {
		return false
	}
	p := k.prefixes[i]
	k.prefixes = append(slices.Delete(k.prefixes, i, i+1), p)
	return true
}

// add keeps a prefix in the memory of the given number of tokens, where the least recently used ones yield.
func (k *keptPrefixes) add(p scheduler.Prefix, memory int) {
	if p.Key == 0 || k.use(p.Key) {
		return
	}
	k.prefixes = append(k.prefixes, p)
	k.tokens += int(p.Tokens)
	for k.tokens > memory && len(k.prefixes) > 0 {
		k.tokens -= int(k.prefixes[0].Tokens)
		k.prefixes = k.prefixes[1:]
	}
}
