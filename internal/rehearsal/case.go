package rehearsal

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Fault is how a version is bad.
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

// String returns the fault's name in the table.
func (f Fault) String() string {
	return faultNames[f]
}

// Bad reports whether the version is to be taken back.
func (f Fault) Bad() bool {
	return f != Good && f != GoodUnderOverload
}

// Trouble is what goes wrong beside the version.
type Trouble int

// The troubles.
const (
	Calm Trouble = iota
	HostDeaths
	MoverPauses
	LogOutages
	Everything
	troubleCount
)

var troubleNames = [troubleCount]string{"calm", "host deaths", "mover pauses", "log outages", "everything"}

// String returns the trouble's name in the table.
func (t Trouble) String() string {
	return troubleNames[t]
}

// Case is one move to rehearse.
type Case struct {
	Seed    uint64
	Fault   Fault
	Trouble Trouble
}

// String returns the case with its seed.
func (c Case) String() string {
	return fmt.Sprintf("seed %d: %s, %s", c.Seed, c.Fault, c.Trouble)
}

// Cases returns so many seeded cases, evenly over faults and troubles; half are of good versions.
func Cases(count int) []Case {
	var cases []Case
	for i := range count {
		c := Case{Seed: uint64(i + 1), Trouble: Trouble(i / 2 % int(troubleCount))}
		if i%2 == 0 {
			c.Fault = Fault(i / (2 * int(troubleCount)) % 2)
		} else {
			c.Fault = FailsAtOnce + Fault(i/(2*int(troubleCount))%int(faultCount-FailsAtOnce))
		}
		cases = append(cases, c)
	}
	return cases
}

const (
	canaryShare = 0.05
	watch       = 20 * time.Second
	loadTime    = 5 * time.Second
	hosts       = 4
	movers      = 3
	requestRate = 60
	// leadIn is the time with traffic before the release note is published.
	leadIn = 2 * time.Minute
	tick   = 100 * time.Millisecond
)

// script is when things go wrong in one case.
type script struct {
	outages     []span
	hostDeaths  []time.Duration
	moverDeaths []time.Duration
	moverPauses []span
	overloads   []span
	badFrom     time.Duration
}

type span struct {
	from, to time.Duration
}

func (s span) holds(at time.Duration) bool {
	return at >= s.from && at < s.to
}

func holds(spans []span, at time.Duration) bool {
	for _, s := range spans {
		if s.holds(at) {
			return true
		}
	}
	return false
}

func (c Case) script(r *rand.Rand, length time.Duration) script {
	var s script
	within := func(limit time.Duration) time.Duration { return time.Duration(r.Int64N(int64(limit))) }
	spanOf := func(longest time.Duration) span {
		from := within(length)
		return span{from, from + time.Second + within(longest)}
	}
	if c.Trouble == LogOutages || c.Trouble == Everything {
		s.outages = []span{spanOf(15 * time.Second), spanOf(15 * time.Second)}
	}
	if c.Trouble == HostDeaths || c.Trouble == Everything {
		s.hostDeaths = []time.Duration{within(length), within(length), within(length)}
		s.moverDeaths = []time.Duration{within(length)}
	}
	if c.Trouble == MoverPauses || c.Trouble == Everything {
		s.moverPauses = []span{spanOf(10 * time.Second), spanOf(20 * time.Second)}
	}
	if c.Fault == GoodUnderOverload {
		s.overloads = []span{spanOf(30 * time.Second), spanOf(30 * time.Second)}
	}
	s.badFrom = 15*time.Second + within(60*time.Second)
	return s
}
