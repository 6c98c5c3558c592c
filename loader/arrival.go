package loader

import (
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Rate is a number of events a second.
type Rate float64

// Seed makes a plan of arrivals repeatable.
type Seed uint64

// Arrival is one request of the plan.
type Arrival struct {
	// At is the time from the start of the run.
	At      time.Duration
	Request dotterelpulley.Request
	Zone    dotterelpulley.ZoneID
	// Within is the deadline counted from the arrival.
	Within time.Duration
	// Output is the length that a model is asked for; 0 for plain services.
	Output   dotterelpulley.Tokens
	Streamed bool
	// ResendAfter is when a second send leaves whatever became of the first; 0 for none.
	ResendAfter time.Duration
}

// PlanSettings shapes the arrivals; the zero value of each field but Profile takes a default.
type PlanSettings struct {
	Profile  Profile
	Seed     Seed
	Start    time.Time
	Duration time.Duration
	Rate     Rate
	// BurstEvery and BurstLength place the bursts; BurstFactor multiplies the rate within them.
	BurstEvery  time.Duration
	BurstLength time.Duration
	BurstFactor float64
	// Resend is the share of requests that are sent twice.
	Resend float64
	// LengthScale multiplies the output lengths.
	LengthScale float64
	// Deadline replaces the tiers' own deadlines.
	Deadline time.Duration
}

const (
	defaultDuration    = 10 * time.Second
	defaultRate        = Rate(20)
	defaultBurstLength = time.Second
	defaultBurstFactor = 4
	maxResendAfter     = 500 * time.Millisecond
	conversations      = 64
)

func (s PlanSettings) withDefaults() PlanSettings {
	if s.Duration == 0 {
		s.Duration = defaultDuration
	}
	if s.Rate == 0 {
		s.Rate = defaultRate
	}
	if s.BurstLength == 0 {
		s.BurstLength = defaultBurstLength
	}
	if s.BurstFactor == 0 {
		s.BurstFactor = defaultBurstFactor
	}
	if s.LengthScale == 0 {
		s.LengthScale = 1
	}
	return s
}

// Plan returns the arrivals in order of time; equal settings give equal plans.
func Plan(settings PlanSettings) []Arrival {
	s := settings.withDefaults()
	p := planner{PlanSettings: s, random: rand.New(rand.NewPCG(uint64(s.Seed), uint64(s.Seed)))}
	var arrivals []Arrival
	for at := p.gap(0); at < s.Duration; at += p.gap(at) {
		arrivals = append(arrivals, p.arrival(at))
	}
	return arrivals
}

type planner struct {
	PlanSettings
	random *rand.Rand
}

func (p *planner) gap(at time.Duration) time.Duration {
	rate := float64(p.Rate)
	if p.bursting(at) {
		rate *= p.BurstFactor
	}
	seconds := p.random.ExpFloat64() / rate
	return time.Duration(seconds * float64(time.Second))
}

// bursting reports whether a burst runs; the first one starts after BurstEvery.
func (p *planner) bursting(at time.Duration) bool {
	if p.BurstEvery <= 0 || at < p.BurstEvery {
		return false
	}
	return at%p.BurstEvery < p.BurstLength
}

func (p *planner) arrival(at time.Duration) Arrival {
	class := p.class()
	organisation := p.organisation()
	a := Arrival{
		At:       at,
		Zone:     p.Profile.Zones[p.random.IntN(len(p.Profile.Zones))],
		Within:   p.deadline(class.Tier),
		Streamed: class.Streamed,
		Request: dotterelpulley.Request{
			Key:     dotterelpulley.Key{Organisation: organisation, Idempotency: p.key(at)},
			Kind:    class.Kind,
			Tier:    class.Tier,
			Service: class.Service,
			Route:   class.Route,
		},
	}
	if class.Plain() {
		a.Request.Payload = payload(a.Request.Key)
	} else {
		p.prompt(&a, class)
	}
	if p.random.Float64() < p.Resend {
		a.ResendAfter = 1 + time.Duration(p.random.Int64N(int64(maxResendAfter)))
	}
	return a
}

func (p *planner) deadline(tier dotterelpulley.Tier) time.Duration {
	if p.Deadline > 0 {
		return p.Deadline
	}
	return tier.DefaultDeadline()
}

func (p *planner) class() Class {
	classes := p.Profile.Classes
	return classes[weighted(p.random, len(classes), func(i int) int { return classes[i].Weight })]
}

func (p *planner) organisation() dotterelpulley.OrganisationID {
	members := p.Profile.Members
	i := weighted(p.random, len(members), func(i int) int { return members[i].Weight })
	return members[i].Organisation
}

// weighted draws an index below n with a chance in proportion to its weight.
func weighted(random *rand.Rand, n int, weight func(int) int) int {
	total := 0
	for i := range n {
		total += weight(i)
	}
	left := random.IntN(total)
	for i := range n {
		left -= weight(i)
		if left < 0 {
			return i
		}
	}
	return n - 1
}
