package scheduler

import (
	"math"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// PrefixKey identifies a prefix of prompts; zero stands for none.
type PrefixKey uint64

// Prefix is the beginning of a prompt that several requests share. An endpoint that keeps it doesn't read it again.
type Prefix struct {
	Key    PrefixKey
	Tokens dotterelpulley.Tokens
}

const (
	// homeCount is the number of endpoints at which requests that share a prefix are preferably placed: one more than one, so
	// that the prefix has a second place when the first is full.
	homeCount = 2
	// homeRateWeight is the weight of a placement in the moving averages of homeRates.
	homeRateWeight = 0.02
	// minHomeRate keeps requests coming to the first home, as without them its rate would never rise again.
	minHomeRate = 0.3
	// keptTime is the time for which an endpoint is taken to keep a prefix of which this host placed a request there.
	keptTime = 20 * time.Second
	// ownKeptProbability is the probability that an endpoint keeps a prefix of which this host placed its last request there.
	ownKeptProbability = 0.9
	// maxPlacedPrefixes bounds the prefixes whose endpoints this host remembers.
	maxPlacedPrefixes = 4096
	// prefixWeight is how many times as much a token that an endpoint keeps counts as one that waits there to be read: the
	// endpoint is spared the reading, and the prefix isn't kept twice.
	prefixWeight = 5
	// ampleFreeShare is the share of free slots from which on a kept prefix counts in full. With fewer, requests that meet at
	// one endpoint cost more by their crowding than is saved.
	ampleFreeShare = 0.3
)

// homes are the endpoints that all hosts prefer for a prefix, so that one of them keeps it: the first ones in the weighted
// rendezvous order of the prefix, which needs no word between the hosts.
type homes [homeCount]*endpoint

// homesOf returns the homes of the prefix.
func (v *service) homesOf(key PrefixKey) homes {
	var best homes
	lowest := [homeCount]float64{math.Inf(1), math.Inf(1)}
	if key == 0 {
		return best
	}
	for _, e := range v.sorted {
		if e.State != dotterelpulley.EndpointLive || !v.split.permitsAny(e) || v.split.Focus == e.ID {
			continue
		}
		// Among exponential variables with the weights as rates, each is the smallest with a probability by its weight.
		rank := -math.Log(unitHash(uint64(key), uint64(e.key))) / v.weight(e)
		switch {
		case rank < lowest[0]:
			best, lowest = homes{e, best[0]}, [homeCount]float64{rank, lowest[0]}
		case rank < lowest[1]:
			best[1], lowest[1] = e, rank
		}
	}
	return best
}

// weight returns the endpoint's share of prefixes relative to others: its slots by its speed, rounded to powers of two so that
// hosts with slightly different measurements agree.
func (v *service) weight(e *endpoint) float64 {
	speed := 1.0
	if interval := e.interval(); interval > 0 && v.eventInterval > 0 {
		speed = math.Exp2(math.Round(math.Log2(float64(v.eventInterval) / float64(interval))))
	}
	return float64(e.slots()) * speed
}

// unitHash returns a number above 0 and up to 1 that depends on both keys; it is the finalizer of SplitMix64.
func unitHash(a, b uint64) float64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 1) / (1 << 53)
}

// homeRates are the fractions of the requests with a prefix that this host places at the homes of their prefixes, in order of
// preference. As all hosts choose alike, they are also the probabilities that a home keeps a prefix: under a load that fills
// the homes, requests spread and the homes keep less.
type homeRates [homeCount]float64

func newHomeRates() homeRates {
	return homeRates{0.6, 0.2}
}

func (r *homeRates) add(e *endpoint, h homes) {
	for i, home := range h {
		sample := 0.0
		if home == e {
			sample = 1
		}
		r[i] += homeRateWeight * (sample - r[i])
	}
	r[0] = max(r[0], minHomeRate)
}

// placedPrefixes remembers where this host placed the last request of each prefix; the zero value is empty.
type placedPrefixes map[PrefixKey]placedPrefix

type placedPrefix struct {
	endpoint *endpoint
	at       time.Time
}

func (p *placedPrefixes) add(now time.Time, key PrefixKey, e *endpoint) {
	if *p == nil || len(*p) >= maxPlacedPrefixes {
		*p = placedPrefixes{}
	}
	(*p)[key] = placedPrefix{endpoint: e, at: now}
}

// keptProbability returns the probability that the endpoint keeps the work's prefix.
func (v *service) keptProbability(now time.Time, e *endpoint, w Work) float64 {
	if w.Prefix.Key == 0 {
		return 0
	}
	if last, ok := v.placed[w.Prefix.Key]; ok && last.endpoint == e && now.Sub(last.at) < keptTime {
		return ownKeptProbability
	}
	for i, home := range w.homes {
		if home == e {
			return v.homeRates[i]
		}
	}
	return 0
}

// unreadTokens returns the expected number of prompt tokens that the endpoint would read for the work.
func (v *service) unreadTokens(now time.Time, e *endpoint, w Work) float64 {
	return float64(w.Prompt) - v.keptProbability(now, e, w)*float64(min(w.Prefix.Tokens, w.Prompt))
}

// savedRuns returns by how many runs the kept part of the prompt makes the endpoint preferable.
func (s *Scheduler) savedRuns(v *service, w Work, unread float64) float64 {
	kept := (float64(w.Prompt) - unread) / float64(orDefault(s.PromptTokensPerRun, defaultPromptTokensPerRun))
	return prefixWeight * kept * min(v.freeShare/ampleFreeShare, 1)
}
