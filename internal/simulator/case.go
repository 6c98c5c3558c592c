package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is the fault of a version.
type Fault int

// The faults of a version.
const (
	Good Fault = iota
	GoodUnderOverload
	FailsAtOnce
	FailsLater
	FailsUnderLoad
	FailsOnRoute
	FailsSeldom
	SlowAtOnce
	SlowLater
	faultCount
)

var faultNames = [faultCount]string{
	"good", "good, overload", "fails at once", "fails later", "fails under load",
	"fails on one route", "fails 1 in 8", "slow at once", "slow later",
}

// String returns the name of the fault in the result table.
func (f Fault) String() string {
	return faultNames[f]
}

// Bad reports whether the version must be rolled back.
func (f Fault) Bad() bool {
	return f != Good && f != GoodUnderOverload
}

// Disruption is a fault of the environment, independent of the version.
type Disruption int

// The disruptions.
const (
	NoDisruption Disruption = iota
	HostCrashes
	MoverPauses
	LogOutages
	AllDisruptions
	disruptionCount
)

var disruptionNames = [disruptionCount]string{"calm", "host deaths", "mover pauses", "log outages", "everything"}

// String returns the name of the disruption in the result table.
func (d Disruption) String() string {
	return disruptionNames[d]
}

// Case is the parameters of one simulated move.
type Case struct {
	Seed       uint64
	Fault      Fault
	Disruption Disruption
}

// String returns the case with its seed.
func (c Case) String() string {
	return fmt.Sprintf("seed %d: %s, %s", c.Seed, c.Fault, c.Disruption)
}

// Cases returns the given number of seeded cases, evenly over faults and disruptions; half have good versions.
func Cases(count int) []Case {
	var cases []Case
	for i := range count {
		c := Case{Seed: uint64(i + 1), Disruption: Disruption(i / 2 % int(disruptionCount))}
		if i%2 == 0 {
			c.Fault = Fault(i / (2 * int(disruptionCount)) % 2)
		} else {
			c.Fault = FailsAtOnce + Fault(i/(2*int(disruptionCount))%int(faultCount-FailsAtOnce))
		}
		cases = append(cases, c)
	}
	return cases
}

const (
	canaryShare     = 0.05
	observationTime = 20 * time.Second
	loadTime        = 5 * time.Second
	hosts           = 4
	movers          = 3
	requestRate     = 60
	// warmUp is the time with traffic before the release note is published.
	warmUp       = 2 * time.Minute
	tickInterval = 100 * time.Millisecond
)

// schedule holds the times of the disruptions and faults of one case.
type schedule struct {
	outages      []span
	hostCrashes  []time.Duration
	moverCrashes []time.Duration
	moverPauses  []span
	overloads    []span
	faultDelay   time.Duration
}

type span struct {
	from, to time.Duration
}

func (s span) contains(at time.Duration) bool {
	return at >= s.from && at < s.to
}

func anyContains(spans []span, at time.Duration) bool {
	for _, s := range spans {
		if s.contains(at) {
			return true
		}
	}
	return false
}

func (c Case) schedule(r *rand.Rand, duration time.Duration) schedule {
	var s schedule
	randomBelow := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	randomSpan := func(maxLength time.Duration) span {
		from := randomBelow(duration)
		return span{from, from + time.Second + randomBelow(maxLength)}
	}
	if c.Disruption == LogOutages || c.Disruption == AllDisruptions {
		s.outages = []span{randomSpan(15 * time.Second), randomSpan(15 * time.Second)}
	}
	if c.Disruption == HostCrashes || c.Disruption == AllDisruptions {
		s.hostCrashes = []time.Duration{randomBelow(duration), randomBelow(duration), randomBelow(duration)}
		s.moverCrashes = []time.Duration{randomBelow(duration)}
	}
	if c.Disruption == MoverPauses || c.Disruption == AllDisruptions {
		s.moverPauses = []span{randomSpan(10 * time.Second), randomSpan(20 * time.Second)}
	}
	if c.Fault == GoodUnderOverload {
		s.overloads = []span{randomSpan(30 * time.Second), randomSpan(30 * time.Second)}
	}
	s.faultDelay = 15*time.Second + randomBelow(60*time.Second)
	return s
}
