package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// allowanceScheduler returns a scheduler with one endpoint, and a function that offers work and reports whether it is placed.
func allowanceScheduler() (s *Scheduler, place func(now time.Time) bool) {
	s = &Scheduler{Seed: 1}
	e := Endpoint{Slots: 1000}
	e.ID, e.Service = "e", "s"
	s.SetEndpoints("s", []Endpoint{e})
	last := ID(0)
	return s, func(now time.Time) bool {
		last++
		s.Offer(Work{ID: last, Service: "s", Arrived: now, Objective: time.Second})
		decisions := s.Decide(now)
		s.Withdraw(last, "s")
		if len(decisions) == 0 {
			return false
		}
		_, placed := decisions[0].(Placed)
		return placed
	}
}

func allow(s *Scheduler, now time.Time, a Allowance) {
	s.SetAllowances(now, "s", map[dotterelpulley.EndpointID]Allowance{"e": a})
}

func TestPlacementsKeepTheRateOfTheAllowance(t *testing.T) {
	for _, perSecond := range []float64{0.5, 2, 20} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			c := qt.New(t)
			s, place := allowanceScheduler()
			now := time.Unix(1_700_000_000, 0)
			c.Assert(place(now), qt.IsTrue)
			allow(s, now, Allowance{RateLimited: true, PerSecond: perSecond})
			c.Assert(place(now), qt.IsFalse, qt.Commentf("a new allowance has nothing saved up"))
			placed := 0
			for range 1000 {
				now = now.Add(10 * time.Millisecond)
				if place(now) {
					placed++
				}
			}
			c.Assert(placed <= int(perSecond*10), qt.IsTrue, qt.Commentf("%d in 10 s", placed))
			c.Assert(placed >= int(perSecond*10)-1, qt.IsTrue, qt.Commentf("%d in 10 s", placed))
			// A share that is lost and regained has nothing saved up.
			allow(s, now, Allowance{RateLimited: true})
			c.Assert(place(now.Add(time.Hour)), qt.IsFalse)
			allow(s, now.Add(time.Hour), Allowance{RateLimited: true, PerSecond: perSecond})
			c.Assert(place(now.Add(time.Hour)), qt.IsFalse)
			allow(s, now.Add(time.Hour), Allowance{})
			c.Assert(place(now.Add(time.Hour)), qt.IsTrue)
		})
	}
}

func TestPlacementsKeepThePlacesOfTheAllowance(t *testing.T) {
	c := qt.New(t)
	s, place := allowanceScheduler()
	now := time.Unix(1_700_000_000, 0)
	allow(s, now, Allowance{PlacesLimited: true, Places: 2})
	c.Assert([]bool{place(now), place(now), place(now)}, qt.DeepEquals, []bool{true, true, false})
	// Gained places count later than lost ones.
	allow(s, now, Allowance{PlacesLimited: true, Places: 3})
	c.Assert(place(now), qt.IsFalse)
	now = now.Add(placesDelay)
	c.Assert([]bool{place(now), place(now)}, qt.DeepEquals, []bool{true, false})
	allow(s, now, Allowance{PlacesLimited: true, Places: 1})
	s.Ended(now, 1, ResultCompleted)
	c.Assert(place(now), qt.IsFalse)
}

// A new start of an endpoint has no allowance until it gets one.
func TestAnAllowanceEndsWithItsInstance(t *testing.T) {
	c := qt.New(t)
	s, place := allowanceScheduler()
	now := time.Unix(1_700_000_000, 0)
	allow(s, now, Allowance{RateLimited: true})
	c.Assert(place(now), qt.IsFalse)
	e := Endpoint{Slots: 100, StartedAt: now}
	e.ID, e.Service = "e", "s"
	s.SetEndpoints("s", []Endpoint{e})
	c.Assert(place(now), qt.IsTrue)
}
