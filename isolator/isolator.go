package isolator

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelpulley/dotterelpulley"
)

// Fingerprint identifies what a request asks an endpoint to do, regardless of its sender and idempotency key.
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

// AttemptID identifies one attempt of a request at an endpoint.
type AttemptID uint64

// AttemptOf returns the id of the attempt that was sent to an endpoint with the request id.
func AttemptOf(requestID string) AttemptID {
	return AttemptID(xxhash.Sum64String(requestID))
}

// NewAttemptID returns an id that no other attempt has, on this host or another one.
func NewAttemptID() AttemptID {
	return AttemptID(rand.Uint64())
}

// String returns the id in hexadecimal digits.
func (a AttemptID) String() string {
	return strconv.FormatUint(uint64(a), 16)
}

// Crash records that an endpoint crashed while an attempt of the request ran on it.
type Crash struct {
	Fingerprint Fingerprint
	Endpoint    dotterelpulley.EndpointID
	Attempt     AttemptID
	Started     time.Time
	At          time.Time
}

// Settings configure the isolator; zero values take their defaults.
type Settings struct {
	// Limit is the number of crashes after which a request is refused; 2.
	Limit int
	// Lifetime is how long a crash counts; 1 h.
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

// Verdict is how a request may be run.
type Verdict int

// The verdicts.
const (
	// Unrestricted requests run without restrictions.
	Unrestricted Verdict = iota
	// Suspect requests run one at a time, on an endpoint that runs no other suspect.
	Suspect
	// Isolated requests are refused.
	Isolated
)

type runningAttempt struct {
	fingerprint Fingerprint
	attempt     AttemptID
	started     time.Time
}

// Isolator holds the running attempts and known crashes of one host; the zero value is ready to use.
type Isolator struct {
	Settings Settings

	running map[dotterelpulley.EndpointID][]runningAttempt
	crashes map[Fingerprint][]Crash
	// cleared holds when a suspect request last completed.
	cleared map[Fingerprint]time.Time
}

// Check returns how the request may be run, and the endpoints that it must not run on.
func (i *Isolator) Check(now time.Time, f Fingerprint) (Verdict, []dotterelpulley.EndpointID) {
	switch n := i.crashCount(now, f); {
	case n >= i.Settings.limit():
		return Isolated, nil
	case n == 0:
		return Unrestricted, nil
	}
	var avoid []dotterelpulley.EndpointID
	for endpoint, attempts := range i.running {
		for _, other := range attempts {
			if other.fingerprint != f && i.crashCount(now, other.fingerprint) > 0 {
				avoid = append(avoid, endpoint)
			}
		}
	}
	slices.Sort(avoid)
	return Suspect, slices.Compact(avoid)
}

// Running reports whether an attempt of the request is in progress; a suspect request has to wait for it.
func (i *Isolator) Running(f Fingerprint) bool {
	for _, attempts := range i.running {
		if slices.ContainsFunc(attempts, func(a runningAttempt) bool { return a.fingerprint == f }) {
			return true
		}
	}
	return false
}

// Started records the start of an attempt.
func (i *Isolator) Started(now time.Time, f Fingerprint, endpoint dotterelpulley.EndpointID, attempt AttemptID) {
	if i.running == nil {
		i.running = map[dotterelpulley.EndpointID][]runningAttempt{}
	}
	i.running[endpoint] = append(i.running[endpoint], runningAttempt{fingerprint: f, attempt: attempt, started: now})
}

// Ended records the end of an attempt without a crash of the endpoint.
func (i *Isolator) Ended(endpoint dotterelpulley.EndpointID, attempt AttemptID) {
	i.running[endpoint] = slices.DeleteFunc(i.running[endpoint], func(a runningAttempt) bool { return a.attempt == attempt })
	if len(i.running[endpoint]) == 0 {
		delete(i.running, endpoint)
	}
}

// Completed records that the request ran to its end, which clears a suspect.
func (i *Isolator) Completed(now time.Time, f Fingerprint) {
	if i.crashCount(now, f) == 0 {
		return
	}
	if i.cleared == nil {
		i.cleared = map[Fingerprint]time.Time{}
	}
	i.cleared[f] = now
}

// EndpointCrashed records the crash of an endpoint and returns the crashes to report to other hosts: those of the
// suspect requests that ran on it, or of all requests on it if none was suspect.
func (i *Isolator) EndpointCrashed(now time.Time, endpoint dotterelpulley.EndpointID) []Crash {
	attempts := i.running[endpoint]
	delete(i.running, endpoint)
	var reported, others []Crash
	for _, a := range attempts {
		c := Crash{Fingerprint: a.fingerprint, Endpoint: endpoint, Attempt: a.attempt, Started: a.started, At: now}
		if i.crashCount(now, a.fingerprint) > 0 {
			reported = append(reported, c)
		} else {
			others = append(others, c)
		}
	}
	if len(reported) == 0 {
		reported = others
	}
	for _, c := range reported {
		i.AddCrash(c)
	}
	return reported
}

// AddCrash records a crash seen by this host or another and reports whether it was unknown.
func (i *Isolator) AddCrash(c Crash) bool {
	known := i.crashes[c.Fingerprint]
	if slices.ContainsFunc(known, func(k Crash) bool { return k.Attempt == c.Attempt }) {
		return false
	}
	if i.crashes == nil {
		i.crashes = map[Fingerprint][]Crash{}
	}
	i.crashes[c.Fingerprint] = append(known, c)
	return true
}

// Prune removes crashes that no longer count.
func (i *Isolator) Prune(now time.Time) {
	for f, crashes := range i.crashes {
		kept := slices.DeleteFunc(crashes, func(c Crash) bool { return now.Sub(c.At) > i.Settings.lifetime() })
		i.crashes[f] = kept
		if len(kept) == 0 {
			delete(i.crashes, f)
			delete(i.cleared, f)
		}
	}
}

// crashCount returns the number of crashes that count against the request.
func (i *Isolator) crashCount(now time.Time, f Fingerprint) int {
	var counted []Crash
	for _, c := range i.crashes[f] {
		if now.Sub(c.At) > i.Settings.lifetime() || !c.At.After(i.cleared[f]) {
			continue
		}
		if !slices.ContainsFunc(counted, c.sameCrash) {
			counted = append(counted, c)
		}
	}
	return len(counted)
}

// sameCrash reports whether two attempts ran on an endpoint at the same time, and so were lost in the same crash.
func (c Crash) sameCrash(other Crash) bool {
	return c.Endpoint == other.Endpoint && c.Started.Before(other.At) && other.Started.Before(c.At)
}
