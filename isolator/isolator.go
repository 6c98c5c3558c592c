package isolator

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Fingerprint stands for what a request asks an endpoint to do, whoever sends it and under whatever key.
type Fingerprint uint64

// FingerprintOf returns the request's fingerprint.
func FingerprintOf(r dotterelpulley.Request) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{string(r.Service), r.Prompt, string(r.Payload)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return Fingerprint(d.Sum64())
}

// AttemptID names one attempt of a request at an endpoint.
type AttemptID uint64

// AttemptOf returns the id of the attempt that an endpoint knows by the request id.
func AttemptOf(requestID string) AttemptID {
	return AttemptID(xxhash.Sum64String(requestID))
}

// String returns the id in hexadecimal digits.
func (a AttemptID) String() string {
	return strconv.FormatUint(uint64(a), 16)
}

// Crash says that an endpoint died while an attempt of the request ran on it.
type Crash struct {
	Fingerprint Fingerprint
	Endpoint    dotterelpulley.EndpointID
	Attempt     AttemptID
	Started     time.Time
	At          time.Time
}

// Settings bound the isolator; each zero value takes its default.
type Settings struct {
	// Limit is the number of endpoints lost to a request after which it is refused; 2.
	Limit int
	// Lifetime is how long a death counts; 1 h.
	Lifetime time.Duration
}

const (
	defaultLimit    = 2
	defaultLifetime = time.Hour
)

func (s Settings) limit() int {
	if s.Limit > 0 {
		return s.Limit
	}
	return defaultLimit
}

func (s Settings) lifetime() time.Duration {
	if s.Lifetime > 0 {
		return s.Lifetime
	}
	return defaultLifetime
}

// Verdict tells how a request may be run.
type Verdict int

// The verdicts.
const (
	// Unrestricted requests run as any other.
	Unrestricted Verdict = iota
	// Suspect requests run one at a time, on an endpoint that runs no other suspect.
	Suspect
	// Isolated requests are refused.
	Isolated
)

type flight struct {
	fingerprint Fingerprint
	attempt     AttemptID
	started     time.Time
}

// Isolator is the decision core of one host; the zero value works.
type Isolator struct {
	Settings Settings

	running map[dotterelpulley.EndpointID][]flight
	deaths  map[Fingerprint][]Crash
	// cleared are suspects that have run whole, with the time.
	cleared map[Fingerprint]time.Time
}

// Check returns how the request may be run, with the endpoints that it must not run on.
func (i *Isolator) Check(now time.Time, f Fingerprint) (Verdict, []dotterelpulley.EndpointID) {
	switch n := i.count(now, f); {
	case n >= i.Settings.limit():
		return Isolated, nil
	case n == 0:
		return Unrestricted, nil
	}
	var avoid []dotterelpulley.EndpointID
	for endpoint, flights := range i.running {
		for _, other := range flights {
			if other.fingerprint != f && i.count(now, other.fingerprint) > 0 {
				avoid = append(avoid, endpoint)
			}
		}
	}
	slices.Sort(avoid)
	return Suspect, slices.Compact(avoid)
}

// Running reports whether an attempt of the request is under way, which a suspect has to wait for.
func (i *Isolator) Running(f Fingerprint) bool {
	for _, flights := range i.running {
		if slices.ContainsFunc(flights, func(fl flight) bool { return fl.fingerprint == f }) {
			return true
		}
	}
	return false
}

// Started notes that an attempt begins.
func (i *Isolator) Started(now time.Time, f Fingerprint, endpoint dotterelpulley.EndpointID, attempt AttemptID) {
	if i.running == nil {
		i.running = map[dotterelpulley.EndpointID][]flight{}
	}
	i.running[endpoint] = append(i.running[endpoint], flight{fingerprint: f, attempt: attempt, started: now})
}

// Ended notes that an attempt is over without the endpoint's death.
func (i *Isolator) Ended(endpoint dotterelpulley.EndpointID, attempt AttemptID) {
	i.running[endpoint] = slices.DeleteFunc(i.running[endpoint], func(fl flight) bool { return fl.attempt == attempt })
	if len(i.running[endpoint]) == 0 {
		delete(i.running, endpoint)
	}
}

// Completed notes that the request has run to its end, which clears a suspect.
func (i *Isolator) Completed(now time.Time, f Fingerprint) {
	if i.count(now, f) == 0 {
		return
	}
	if i.cleared == nil {
		i.cleared = map[Fingerprint]time.Time{}
	}
	i.cleared[f] = now
}

// EndpointCrashed notes an endpoint's death and returns the deaths to tell other hosts of: those of suspects that ran on it,
// or of all requests that did if none was suspect.
func (i *Isolator) EndpointCrashed(now time.Time, endpoint dotterelpulley.EndpointID) []Crash {
	flights := i.running[endpoint]
	delete(i.running, endpoint)
	var blamed, others []Crash
	for _, fl := range flights {
		d := Crash{Fingerprint: fl.fingerprint, Endpoint: endpoint, Attempt: fl.attempt, Started: fl.started, At: now}
		if i.count(now, fl.fingerprint) > 0 {
			blamed = append(blamed, d)
		} else {
			others = append(others, d)
		}
	}
	if len(blamed) == 0 {
		blamed = others
	}
	for _, d := range blamed {
		i.AddCrash(d)
	}
	return blamed
}

// AddCrash takes a death from this host or another and reports whether it is news.
func (i *Isolator) AddCrash(d Crash) bool {
	known := i.deaths[d.Fingerprint]
	if slices.ContainsFunc(known, func(k Crash) bool { return k.Attempt == d.Attempt }) {
		return false
	}
	if i.deaths == nil {
		i.deaths = map[Fingerprint][]Crash{}
	}
	i.deaths[d.Fingerprint] = append(known, d)
	return true
}

// Prune forgets deaths that no longer count.
func (i *Isolator) Prune(now time.Time) {
	for f, deaths := range i.deaths {
		kept := slices.DeleteFunc(deaths, func(d Crash) bool { return now.Sub(d.At) > i.Settings.lifetime() })
		i.deaths[f] = kept
		if len(kept) == 0 {
			delete(i.deaths, f)
			delete(i.cleared, f)
		}
	}
}

// count returns the number of deaths that count against the request.
func (i *Isolator) count(now time.Time, f Fingerprint) int {
	var counted []Crash
	for _, d := range i.deaths[f] {
		if now.Sub(d.At) > i.Settings.lifetime() || !d.At.After(i.cleared[f]) {
			continue
		}
		if !slices.ContainsFunc(counted, d.sameCrash) {
			counted = append(counted, d)
		}
	}
	return len(counted)
}

// sameCrash reports whether two attempts ran on an endpoint at once, and so were lost in one crash.
func (d Crash) sameCrash(other Crash) bool {
	return d.Endpoint == other.Endpoint && d.Started.Before(other.At) && other.Started.Before(d.At)
}
