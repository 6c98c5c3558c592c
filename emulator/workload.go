package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

// Use is one kind of request and how much of the engines' capacity it asks for.
type Use struct {
	Organisation dotterelpulley.OrganisationID
	Tier         dotterelpulley.Tier
	Route        dotterelpulley.RouteID
	Prompt       int
	Output       int
	// Templates is the number of common prompt beginnings.
	Templates int
	// Demand is the offered work as a share of the capacity of all engines.
	Demand float64
	// Burst is how many requests come at once at the start.
	Burst int
}

// request is one request of a trace.
type request struct {
	id           int
	organisation dotterelpulley.OrganisationID
	tier         dotterelpulley.Tier
	route        dotterelpulley.RouteID
	prompt       int
	output       int
	prefixes     []picker.PrefixHash
	arrived      time.Duration
	deadline     time.Duration
	// home picks the entry host that dispatches the request.
	home uint64
}

// trace returns the requests that the uses send in the time before engines of the summed speed.
func trace(seed uint64, uses []Use, span time.Duration, capacity float64) []*request {
	var all []*request
	for i, use := range uses {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for range use.Burst {
			all = append(all, use.request(random, 0))
		}
		if use.Demand <= 0 {
			continue
		}
		every := float64(work(use.Prompt, use.Output)) / (capacity * use.Demand)
		at := time.Duration(0)
		for {
			at += time.Duration(random.ExpFloat64() * every)
			if at >= span {
				break
			}
			all = append(all, use.request(random, at))
		}
	}
	for id, r := range all {
		r.id = id
	}
	return all
}

// around returns a size between half and one and a half times the mean.
func around(random *rand.Rand, mean int) int {
	return max(1, mean/2+random.IntN(mean+1))
}

func (u Use) request(random *rand.Rand, at time.Duration) *request {
	r := &request{
		organisation: u.Organisation,
		tier:         u.Tier,
		route:        u.Route,
		prompt:       around(random, u.Prompt),
		output:       around(random, u.Output),
		arrived:      at,
		deadline:     at + u.Tier.DefaultDeadline(),
		home:         random.Uint64(),
	}
	template := random.IntN(max(u.Templates, 1))
	r.prefixes = u.prefixes(template, r.prompt, random.Uint64())
	return r
}

// prefixes returns the hashes of a prompt whose first half is its template.
func (u Use) prefixes(template, prompt int, unique uint64) []picker.PrefixHash {
	var hashes []picker.PrefixHash
	d := xxhash.NewWithSeed(uint64(template))
	_, _ = d.WriteString(string(u.Organisation) + "/" + string(u.Route))
	common := d.Sum64()
	for place, tokens := 0, 64; tokens <= prompt; place, tokens = place+1, tokens*2 {
		hash := common + uint64(place)
		if tokens > u.Prompt/2 {
			hash = unique + uint64(place)
		}
		hashes = append(hashes, picker.PrefixHash(hash))
	}
	return hashes
}
