package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

// Workload is one kind of request and its demand on the engines.
type Workload struct {
	Organisation dotterelpulley.OrganisationID
	Tier         dotterelpulley.Tier
	Route        dotterelpulley.RouteID
	Prompt       int
	Output       int
	// Templates is the number of shared prompt prefixes.
	Templates int
	// Demand is the offered work as a fraction of the capacity of all engines.
	Demand float64
	// Burst is the number of requests that arrive together at the start.
	Burst int
}

// request is one request of the generated load.
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
	// hostSelector selects the entry host that dispatches the request.
	hostSelector uint64
}

// generateRequests returns the requests of the workloads within the duration, for engines of the summed speed.
func generateRequests(seed uint64, workloads []Workload, duration time.Duration, capacity float64) []*request {
	var requests []*request
	for i, workload := range workloads {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		for range workload.Burst {
			requests = append(requests, workload.request(random, 0))
		}
		if workload.Demand <= 0 {
			continue
		}
		meanInterval := float64(engineTime(workload.Prompt, workload.Output)) / (capacity * workload.Demand)
		arrival := time.Duration(0)
		for {
			arrival += time.Duration(random.ExpFloat64() * meanInterval)
			if arrival >= duration {
				break
			}
			requests = append(requests, workload.request(random, arrival))
		}
	}
	for id, r := range requests {
		r.id = id
	}
	return requests
}

// randomAround returns a random size between half and one and a half times the mean.
func randomAround(random *rand.Rand, mean int) int {
	return max(1, mean/2+random.IntN(mean+1))
}

func (w Workload) request(random *rand.Rand, at time.Duration) *request {
	r := &request{
		organisation: w.Organisation,
		tier:         w.Tier,
		route:        w.Route,
		prompt:       randomAround(random, w.Prompt),
		output:       randomAround(random, w.Output),
		arrived:      at,
		deadline:     at + w.Tier.DefaultDeadline(),
		hostSelector: random.Uint64(),
	}
	template := random.IntN(max(w.Templates, 1))
	r.prefixes = w.prefixes(template, r.prompt, random.Uint64())
	return r
}

// prefixes returns the hashes of the first 64, 128, 256 and so on tokens of a prompt; its template is half the mean prompt.
func (w Workload) prefixes(template, prompt int, uniqueHash uint64) []picker.PrefixHash {
	var hashes []picker.PrefixHash
	digest := xxhash.NewWithSeed(uint64(template))
	_, _ = digest.WriteString(string(w.Organisation) + "/" + string(w.Route))
	templateHash := digest.Sum64()
	for i, tokens := 0, 64; tokens <= prompt; i, tokens = i+1, tokens*2 {
		hash := templateHash + uint64(i)
		if tokens > w.Prompt/2 {
			hash = uniqueHash + uint64(i)
		}
		hashes = append(hashes, picker.PrefixHash(hash))
	}
	return hashes
}
