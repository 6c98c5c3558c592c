package loader

import (
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Rate is a number of events a second.
type Rate float64

// Seed seeds the random numbers of a plan of arrivals.
type Seed uint64

// Arrival is one request of the plan.
type Arrival struct {
	// At is the arrival time, counted from the start of the run.
	At      time.Duration
	Request dotterelpulley.Request
	Zone    dotterelpulley.ZoneID
	// Timeout is the time from the arrival to the deadline.
	Timeout time.Duration
	// OutputTokens is the answer length requested from a model; 0 for plain services.
	OutputTokens dotterelpulley.Tokens
	Streamed     bool
	// ResendDelay is the delay of a second send, made regardless of the first one's outcome; 0 for none.
	ResendDelay time.Duration
}

// PlanSettings configures the arrivals; the zero value of each field except Profile selects a default.
type PlanSettings struct {
	Profile  Profile
	Seed     Seed
	Start    time.Time
	Duration time.Duration
	Rate     Rate
	// Bursts start every BurstInterval and last for BurstLength; BurstFactor multiplies the rate during a burst.
	BurstInterval time.Duration
	BurstLength   time.Duration
	BurstFactor   float64
	// ResendFraction is the fraction of requests that are sent twice.
	ResendFraction float64
	// LengthScale multiplies the output lengths.
	LengthScale float64
	// Deadline overrides the default deadlines of the tiers.
	Deadline time.Duration
}

const (
	defaultDuration    = 10 * time.Second
	defaultRate        = Rate(20)
	defaultBurstLength = time.Second
	defaultBurstFactor = 4
	maxResendDelay     = 500 * time.Millisecond
	conversationCount  = 64
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

// Plan returns the arrivals in order of time; equal settings return equal plans.
func Plan(settings PlanSettings) []Arrival {
	s := settings.withDefaults()
	p := planner{PlanSettings: s, random: rand.New(rand.NewPCG(uint64(s.Seed), uint64(s.Seed)))}
	var arrivals []Arrival
	for at := p.drawInterval(0); at < s.Duration; at += p.drawInterval(at) {
		arrivals = append(arrivals, p.arrival(at))
	}
	return arrivals
}

type planner struct {
	PlanSettings
	random *rand.Rand
}

func (p *planner) drawInterval(at time.Duration) time.Duration {
	rate := float64(p.Rate)
	if p.inBurst(at) {
		rate *= p.BurstFactor
	}
	seconds := p.random.ExpFloat64() / rate
	return time.Duration(seconds * float64(time.Second))
}

// inBurst reports whether the time lies within a burst; the first one starts after BurstInterval.
func (p *planner) inBurst(at time.Duration) bool {
	if p.BurstInterval <= 0 || at < p.BurstInterval {
		return false
	}
	return at%p.BurstInterval < p.BurstLength
}

func (p *planner) arrival(at time.Duration) Arrival {
	class := p.class()
	organisation := p.organisation()
	a := Arrival{
		At:       at,
		Zone:     p.Profile.Zones[p.random.IntN(len(p.Profile.Zones))],
		Timeout:  p.deadline(class.Tier),
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
	if p.random.Float64() < p.ResendFraction {
		a.ResendDelay = 1 + time.Duration(p.random.Int64N(int64(maxResendDelay)))
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
	return classes[weightedIndex(p.random, len(classes), func(i int) int { return classes[i].Weight })]
}

func (p *planner) organisation() dotterelpulley.OrganisationID {
	shares := p.Profile.Organisations
	i := weightedIndex(p.random, len(shares), func(i int) int { return shares[i].Weight })
	return shares[i].Organisation
}

// weightedIndex returns a random index below n, with a probability proportional to its weight.
func weightedIndex(random *rand.Rand, n int, weight func(int) int) int {
	total := 0
	for i := range n {
		total += weight(i)
	}
	remaining := random.IntN(total)
	for i := range n {
		remaining -= weight(i)
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}
