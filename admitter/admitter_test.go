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

func always(admitter.Request) bool { return true }

func waiting(id int, organisation dotterelpulley.OrganisationID, tier dotterelpulley.Tier) admitter.Request {
	return admitter.Request{
		ID:           admitter.ID(fmt.Sprint(id)),
		Organisation: organisation,
		Tier:         tier,
		Service:      service,
		Cost:         100,
		Deadline:     start.Add(time.Hour),
	}
}

// teach lets the admitter see runs of the cost that each take the time.
func teach(a *admitter.Admitter, cost admitter.Cost, elapsed time.Duration) {
	a.Offer(start, admitter.Request{ID: "teach", Service: service, Cost: cost, Deadline: start.Add(time.Hour)})
	a.Next(start, service, always)
	a.Finished(start.Add(elapsed), "teach", cost, admitter.OutcomeCompleted)
}

// fates keeps what became of each request against what may become of it.
type fates struct {
	waiting map[admitter.ID]admitter.Request
	running map[admitter.ID]admitter.Request
}

func (f *fates) shed(t *rapid.T, sheds []admitter.Shed) {
	for _, s := range sheds {
		if _, ok := f.waiting[s.ID]; !ok {
			t.Fatalf("request %s was given up and did not wait", s.ID)
		}
		delete(f.waiting, s.ID)
		if s.RetryAfter < time.Second {
			t.Fatalf("request %s comes back after %s", s.ID, s.RetryAfter)
		}
		if s.Kind == dotterelpulley.ErrorShed {
			f.noneBelow(t, s.Tier)
		}
	}
}

func (f *fates) noneBelow(t *rapid.T, tier dotterelpulley.Tier) {
	for _, w := range f.waiting {
		if w.Tier > tier {
			t.Fatalf("tier %s was shed while request %s of tier %s waits", tier, w.ID, w.Tier)
		}
	}
}

func (f *fates) noneAbove(t *rapid.T, tier dotterelpulley.Tier) {
	for _, w := range f.waiting {
		if w.Tier < tier {
			t.Fatalf("tier %s runs while request %s of tier %s waits", tier, w.ID, w.Tier)
		}
	}
}

func TestEachRequestHasOneFateAndTiersGoInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &admitter.Admitter{Seed: rapid.Uint64().Draw(t, "seed"), MaxWaiting: 12}
		f := &fates{waiting: map[admitter.ID]admitter.Request{}, running: map[admitter.ID]admitter.Request{}}
		now := start
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				w := waiting(i, dotterelpulley.OrganisationID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")),
					dotterelpulley.Tier(rapid.IntRange(0, 4).Draw(t, "tier")))
				w.Cost = admitter.Cost(rapid.IntRange(1, 5000).Draw(t, "cost"))
				w.Deadline = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "deadline")) * time.Second)
				f.waiting[w.ID] = w
				f.shed(t, a.Offer(now, w))
			case 2:
				f.shed(t, a.Expire(now))
				w, ok := a.Next(now, service, always)
				if !ok {
					break
				}
				f.noneAbove(t, w.Tier)
				delete(f.waiting, w.ID)
				f.running[w.ID] = w
			case 3:
				for id, w := range f.running {
					a.Finished(now, id, w.Cost, admitter.OutcomeCompleted)
					delete(f.running, id)
					break
				}
			case 4:
				for id := range f.waiting {
					if !a.Remove(id) {
						t.Fatalf("request %s waits and could not be removed", id)
					}
					delete(f.waiting, id)
					break
				}
			case 5:
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond)
				f.shed(t, a.Expire(now))
			}
			if have := a.Waiting(service); have != len(f.waiting) {
				t.Fatalf("%d wait, want %d", have, len(f.waiting))
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
		c.Assert(a.Offer(start, waiting(i, "plans", tier)), qt.HasLen, 0)
	}
	for i := 10; i < 20; i++ {
		sheds := a.Offer(start, waiting(i, "cab", dotterelpulley.TierUrgent))
		c.Assert(sheds, qt.HasLen, 1)
		want := dotterelpulley.TierBackground
		if i >= 15 {
			want = dotterelpulley.TierPlanned
		}
		c.Check(sheds[0].Tier, qt.Equals, want)
	}
	sheds := a.Offer(start, waiting(20, "plans", dotterelpulley.TierBackground))
	c.Assert(sheds, qt.HasLen, 1)
	c.Check(sheds[0].ID, qt.Equals, admitter.ID("20"))
}

func TestRefusesWhatCannotMeetItsDeadline(t *testing.T) {
	c := qt.New(t)
	a := &admitter.Admitter{}
	a.SetCapacity(service, 1)
	teach(a, 100, time.Second)
	now := start.Add(time.Minute)
	for i := range 5 {
		w := waiting(i, "a", dotterelpulley.TierStandard)
		w.Deadline = now.Add(20 * time.Second)
		c.Assert(a.Offer(now, w), qt.HasLen, 0)
	}
	late := waiting(9, "a", dotterelpulley.TierStandard)
	late.Deadline = now.Add(4 * time.Second)
	sheds := a.Offer(now, late)
	c.Assert(sheds, qt.HasLen, 1)
	c.Check(sheds[0].Kind, qt.Equals, dotterelpulley.ErrorDeadlineUnreachable)

	urgent := late
	urgent.ID, urgent.Tier = "urgent", dotterelpulley.TierUrgent
	c.Check(a.Offer(now, urgent), qt.HasLen, 0)

	background := waiting(10, "a", dotterelpulley.TierBackground)
	sheds = a.Offer(now, background)
	c.Assert(sheds, qt.HasLen, 1, qt.Commentf("a lower tier is admitted after a higher one was refused"))
	c.Check(sheds[0].Kind, qt.Equals, dotterelpulley.ErrorShed)
}

func TestExpiresAtTheLatestStart(t *testing.T) {
	c := qt.New(t)
	a := &admitter.Admitter{}
	teach(a, 100, time.Second)
	w := waiting(1, "a", dotterelpulley.TierUrgent)
	w.Deadline = start.Add(10 * time.Second)
	c.Assert(a.Offer(start, w), qt.HasLen, 0)
	at, ok := a.NextExpiry()
	c.Assert(ok, qt.IsTrue)
	c.Check(at.Before(w.Deadline.Add(-time.Second)), qt.IsTrue)
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
		a.Offer(start, waiting(i, "large", dotterelpulley.TierStandard))
	}
	for i := range 1000 {
		a.Offer(start, waiting(3000+i, "small", dotterelpulley.TierStandard))
	}
	got := map[dotterelpulley.OrganisationID]int{}
	for range 400 {
		w, _ := a.Next(start, service, always)
		got[w.Organisation]++
	}
	c.Check(got["large"], qt.Equals, 300)
	c.Check(got["small"], qt.Equals, 100)
}

func TestRetryAfterSpreads(t *testing.T) {
	c := qt.New(t)
	a := &admitter.Admitter{Seed: 7}
	seen := map[time.Duration]bool{}
	for i := range 100 {
		w := waiting(i, "a", dotterelpulley.TierStandard)
		w.Deadline = start
		sheds := a.Offer(start, w)
		c.Assert(sheds, qt.HasLen, 1)
		seen[sheds[0].RetryAfter] = true
	}
	c.Check(len(seen) > 40, qt.IsTrue, qt.Commentf("%d of 100 differ", len(seen)))
}

func TestLowerTiersLeaveRoomForUrgentOnes(t *testing.T) {
	c := qt.New(t)
	a := &admitter.Admitter{}
	a.SetCapacity(service, 40)
	c.Check(a.Reserve(start, service, dotterelpulley.TierUrgent), qt.Equals, 0.0)
	idle := a.Reserve(start, service, dotterelpulley.TierBackground)
	for i := range 10 {
		a.Offer(start, waiting(i, "cab", dotterelpulley.TierUrgent))
		a.Next(start, service, always)
	}
	for i := range 10 {
		a.Finished(start.Add(time.Second), admitter.ID(fmt.Sprint(i)), 100, admitter.OutcomeCompleted)
	}
	after := a.Reserve(start.Add(time.Second), service, dotterelpulley.TierBackground)
	c.Check(after > idle, qt.IsTrue, qt.Commentf("%.2f after an urgent peak, %.2f before", after, idle))
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
				a.Offer(start, waiting(-i-1, names[i], dotterelpulley.TierStandard))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				w := admitter.Request{
					ID: ids[i%len(ids)], Organisation: names[i%organisations], Tier: dotterelpulley.TierStandard,
					Service: service, Cost: 100, Deadline: start.Add(time.Hour),
				}
				a.Offer(start, w)
				next, _ := a.Next(start, service, always)
				a.Finished(start, next.ID, 100, admitter.OutcomeFailed)
			}
		})
	}
}
