package admitter_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/admitter"
)

const service = dotterelpulley.ServiceID("kaasik-lm")

var start = time.Unix(1_700_000_000, 0)

func anyRequest(admitter.Request) bool { return true }

func request(id int, organisation dotterelpulley.OrganisationID, tier dotterelpulley.Tier) admitter.Request {
	return admitter.Request{
		ID:           admitter.ID(fmt.Sprint(id)),
		Organisation: organisation,
		Tier:         tier,
		Service:      service,
		Cost:         100,
		Deadline:     start.Add(time.Hour),
	}
}

// observeRun runs one request of the cost for the elapsed time, so that the admitter learns the speed.
func observeRun(a *admitter.Admitter, cost admitter.Cost, elapsed time.Duration) {
	a.Offer(start, admitter.Request{ID: "observed", Service: service, Cost: cost, Deadline: start.Add(time.Hour)})
	a.Next(start, service, anyRequest)
	a.Finished(start.Add(elapsed), "observed", cost, admitter.OutcomeCompleted)
}

// requestStates tracks the requests that the admitter should have queued and running.
type requestStates struct {
	waiting map[admitter.ID]admitter.Request
	running map[admitter.ID]admitter.Request
}

func (states *requestStates) removeShed(t *rapid.T, sheds []admitter.Shed) {
	for _, s := range sheds {
		if _, ok := states.waiting[s.ID]; !ok {
			t.Fatalf("request %s was refused but was not queued", s.ID)
		}
		delete(states.waiting, s.ID)
		if s.RetryAfter < time.Second {
			t.Fatalf("request %s may retry after %s", s.ID, s.RetryAfter)
		}
		if s.Kind == dotterelpulley.ErrorShed {
			states.checkNoneBelow(t, s.Tier)
		}
	}
}

func (states *requestStates) checkNoneBelow(t *rapid.T, tier dotterelpulley.Tier) {
	for _, r := range states.waiting {
		if r.Tier > tier {
			t.Fatalf("tier %s was shed while request %s of tier %s was queued", tier, r.ID, r.Tier)
		}
	}
}

func (states *requestStates) checkNoneAbove(t *rapid.T, tier dotterelpulley.Tier) {
	for _, r := range states.waiting {
		if r.Tier < tier {
			t.Fatalf("tier %s was started while request %s of tier %s was queued", tier, r.ID, r.Tier)
		}
	}
}

func TestEachRequestHasOneOutcomeAndTiersRunInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &admitter.Admitter{Seed: rapid.Uint64().Draw(t, "seed"), MaxWaiting: 12}
		states := &requestStates{waiting: map[admitter.ID]admitter.Request{}, running: map[admitter.ID]admitter.Request{}}
		now := start
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				r := request(i, dotterelpulley.OrganisationID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")),
					dotterelpulley.Tier(rapid.IntRange(0, 4).Draw(t, "tier")))
				r.Cost = admitter.Cost(rapid.IntRange(1, 5000).Draw(t, "cost"))
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "deadline")) * time.Second)
				states.waiting[r.ID] = r
				states.removeShed(t, a.Offer(now, r))
			case 2:
				states.removeShed(t, a.Expire(now))
				r, ok := a.Next(now, service, anyRequest)
				if !ok {
					break
				}
				states.checkNoneAbove(t, r.Tier)
				delete(states.waiting, r.ID)
				states.running[r.ID] = r
			case 3:
				for id, r := range states.running {
					a.Finished(now, id, r.Cost, admitter.OutcomeCompleted)
					delete(states.running, id)
					break
				}
			case 4:
				for id := range states.waiting {
					if !a.Remove(id) {
						t.Fatalf("queued request %s could not be removed", id)
					}
					delete(states.waiting, id)
					break
				}
			case 5:
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond)
				states.removeShed(t, a.Expire(now))
			}
			if queued := a.Waiting(service); queued != len(states.waiting) {
				t.Fatalf("%d requests queued, want %d", queued, len(states.waiting))
			}
		}
	})
}

func TestBurstShedsTheLowestTierFirst(t *testing.T) {
	c := qt.New(t)
	a := &admitter.Admitter{MaxWaiting: 10}
	for i := range 10 {
		tier := dotterelpulley.TierBackground
		if i%2 == 0 {
			tier = dotterelpulley.TierPlanned
		}
		c.Assert(a.Offer(start, request(i, "plans", tier)), qt.HasLen, 0)
	}
	for i := 10; i < 20; i++ {
		sheds := a.Offer(start, request(i, "cab", dotterelpulley.TierUrgent))
		c.Assert(sheds, qt.HasLen, 1)
		want := dotterelpulley.TierBackground
		if i >= 15 {
			want = dotterelpulley.TierPlanned
		}
		c.Check(sheds[0].Tier, qt.Equals, want)
	}
	sheds := a.Offer(start, request(20, "plans", dotterelpulley.TierBackground))
	c.Assert(sheds, qt.HasLen, 1)
	c.Check(sheds[0].ID, qt.Equals, admitter.ID("20"))
}

func TestRefusesWhatCannotMeetItsDeadline(t *testing.T) {
	c := qt.New(t)
	a := &admitter.Admitter{}
	a.SetCapacity(service, 1)
	observeRun(a, 100, time.Second)
	now := start.Add(time.Minute)
	for i := range 5 {
		r := request(i, "a", dotterelpulley.TierStandard)
		r.Deadline = now.Add(20 * time.Second)
		c.Assert(a.Offer(now, r), qt.HasLen, 0)
	}
	late := request(9, "a", dotterelpulley.TierStandard)
	late.Deadline = now.Add(4 * time.Second)
	sheds := a.Offer(now, late)
	c.Assert(sheds, qt.HasLen, 1)
	c.Check(sheds[0].Kind, qt.Equals, dotterelpulley.ErrorDeadlineUnreachable)

	urgent := late
	urgent.ID, urgent.Tier = "urgent", dotterelpulley.TierUrgent
	c.Check(a.Offer(now, urgent), qt.HasLen, 0)

	background := request(10, "a", dotterelpulley.TierBackground)
	sheds = a.Offer(now, background)
	c.Assert(sheds, qt.HasLen, 1, qt.Commentf("a lower tier was admitted after a higher one was refused"))
	c.Check(sheds[0].Kind, qt.Equals, dotterelpulley.ErrorShed)
}

func TestExpiresAtTheLatestStart(t *testing.T) {
	c := qt.New(t)
	a := &admitter.Admitter{}
	observeRun(a, 100, time.Second)
	r := request(1, "a", dotterelpulley.TierUrgent)
	r.Deadline = start.Add(10 * time.Second)
	c.Assert(a.Offer(start, r), qt.HasLen, 0)
	at, ok := a.NextExpiry()
	c.Assert(ok, qt.IsTrue)
	c.Check(at.Before(r.Deadline.Add(-time.Second)), qt.IsTrue)
	c.Check(a.Expire(at.Add(-time.Millisecond)), qt.HasLen, 0)
	c.Check(a.Expire(at), qt.HasLen, 1)
	c.Check(a.Waiting(service), qt.Equals, 0)
}

func TestOrganisationsShareByWeight(t *testing.T) {
	c := qt.New(t)
	a := &admitter.Admitter{Weight: func(id dotterelpulley.OrganisationID) int {
		return map[dotterelpulley.OrganisationID]int{"large": 3}[id]
	}}
	for i := range 3000 {
		a.Offer(start, request(i, "large", dotterelpulley.TierStandard))
	}
	for i := range 1000 {
		a.Offer(start, request(3000+i, "small", dotterelpulley.TierStandard))
	}
	got := map[dotterelpulley.OrganisationID]int{}
	for range 400 {
		r, _ := a.Next(start, service, anyRequest)
		got[r.Organisation]++
	}
	c.Check(got["large"], qt.Equals, 300)
	c.Check(got["small"], qt.Equals, 100)
}

func TestRetryAfterSpreads(t *testing.T) {
	c := qt.New(t)
	a := &admitter.Admitter{Seed: 7}
	seen := map[time.Duration]bool{}
	for i := range 100 {
		r := request(i, "a", dotterelpulley.TierStandard)
		r.Deadline = start
		sheds := a.Offer(start, r)
		c.Assert(sheds, qt.HasLen, 1)
		seen[sheds[0].RetryAfter] = true
	}
	c.Check(len(seen) > 40, qt.IsTrue, qt.Commentf("%d distinct delays in 100", len(seen)))
}

func TestLowerTiersLeaveRoomForUrgentOnes(t *testing.T) {
	c := qt.New(t)
	a := &admitter.Admitter{}
	a.SetCapacity(service, 40)
	c.Check(a.Reserve(start, service, dotterelpulley.TierUrgent), qt.Equals, 0.0)
	idle := a.Reserve(start, service, dotterelpulley.TierBackground)
	for i := range 10 {
		a.Offer(start, request(i, "cab", dotterelpulley.TierUrgent))
		a.Next(start, service, anyRequest)
	}
	for i := range 10 {
		a.Finished(start.Add(time.Second), admitter.ID(fmt.Sprint(i)), 100, admitter.OutcomeCompleted)
	}
	after := a.Reserve(start.Add(time.Second), service, dotterelpulley.TierBackground)
	c.Check(after > idle, qt.IsTrue, qt.Commentf("reserve %.2f after an urgent peak, %.2f before", after, idle))
	c.Check(after <= 0.5, qt.IsTrue)
}

func BenchmarkOfferAndNext(b *testing.B) {
	for _, organisations := range []int{5, 300, 18000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			a := &admitter.Admitter{MaxWaiting: 1 << 20}
			ids := make([]admitter.ID, 1<<16)
			names := make([]dotterelpulley.OrganisationID, organisations)
			for i := range ids {
				ids[i] = admitter.ID(fmt.Sprint(i))
			}
			for i := range names {
				names[i] = dotterelpulley.OrganisationID(fmt.Sprint(i))
				a.Offer(start, request(-i-1, names[i], dotterelpulley.TierStandard))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := admitter.Request{
					ID: ids[i%len(ids)], Organisation: names[i%organisations], Tier: dotterelpulley.TierStandard,
					Service: service, Cost: 100, Deadline: start.Add(time.Hour),
				}
				a.Offer(start, r)
				next, _ := a.Next(start, service, anyRequest)
				a.Finished(start, next.ID, 100, admitter.OutcomeFailed)
			}
		})
	}
}
