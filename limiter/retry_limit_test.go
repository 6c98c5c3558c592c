package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/limiter"
)

// retryFleet is the hosts of a fleet that serve one service, in virtual time.
type retryFleet struct {
	limit    limiter.RetryLimit
	random   *rand.Rand
	budgets  []*limiter.RetryBudget
	requests []time.Time
	retries  []time.Time
}

func newRetryFleet(limit limiter.RetryLimit, hosts int, seed uint64) *retryFleet {
	f := &retryFleet{limit: limit, random: rand.New(rand.NewPCG(seed, seed)), budgets: make([]*limiter.RetryBudget, hosts)}
	for i := range f.budgets {
		f.restart(start, i)
	}
	return f
}

// restart begins a new process of the host.
func (f *retryFleet) restart(now time.Time, host int) {
	f.budgets[host] = &limiter.RetryBudget{}
	f.budgets[host].Divide(now, f.limit, len(f.budgets))
}

// serve handles a request that needs the number of retries.
func (f *retryFleet) serve(now time.Time, needed int) {
	b := f.budgets[f.random.IntN(len(f.budgets))]
	b.Deposit(now, service)
	f.requests = append(f.requests, now)
	for range needed {
		if b.Withdraw(now, service) {
			f.retries = append(f.retries, now)
		}
	}
}

// countWithin returns how many of the times lie within the window after from.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// worst returns the retries in the fullest window, and what the limit allows there: of the requests in that window, the one before
// and the one half a window before, the most count.
func (f *retryFleet) worst() (retries int, allowed float64) {
	const step = 250 * time.Millisecond
	for from := start; from.Before(f.requests[len(f.requests)-1]); from = from.Add(step) {
		n := countWithin(f.retries, from, f.limit.Window)
		requests := 0
		for _, earlier := range []time.Duration{0, f.limit.Window / 2, f.limit.Window} {
			requests = max(requests, countWithin(f.requests, from.Add(-earlier), f.limit.Window))
		}
		if a := f.limit.Ratio*float64(requests) + f.limit.Extra; retries == 0 || float64(n)-a > float64(retries)-allowed {
			retries, allowed = n, a
		}
	}
	return retries, allowed
}

// play runs 40 s of requests at the rate, of which all need retries in every other five seconds.
func (f *retryFleet) play(perSecond int, fault func(now time.Time)) {
	for ms := range 40_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		fault(now)
		for range perSecond/1000 + btoi(f.random.IntN(1000) < perSecond%1000) {
			needed := 0
			if ms/5000%2 == 1 {
				needed = 3
			}
			f.serve(now, needed)
		}
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Each life of a host began with a whole part: restarts while endpoints refuse requests multiplied the fixed number.
func TestRetriesOfAllHostsStayWithinTheLimitOverRestarts(t *testing.T) {
	for _, fleet := range []struct {
		hosts     int
		extra     float64
		perSecond int
	}{{1, 58, 300}, {8, 56, 300}, {9, 58, 20}, {59, 212, 900}, {295, 630, 1800}, {295, 58, 1800}, {295, 58, 100}} {
		for _, restarts := range []string{"none", "all at once", "one after another"} {
			t.Run(fmt.Sprintf("%d hosts, %.0f extra, %d a second, restarts %s", fleet.hosts, fleet.extra, fleet.perSecond, restarts), func(t *testing.T) {
				c := qt.New(t)
				f := newRetryFleet(limiter.RetryLimit{Ratio: 0.2, Extra: fleet.extra, Window: 10 * time.Second}, fleet.hosts, 1)
				f.play(fleet.perSecond, func(now time.Time) {
					since := now.Sub(start)
					if since%time.Second != 0 || since == 0 {
						return
					}
					switch restarts {
					case "all at once":
						for host := range f.budgets {
							f.restart(now, host)
						}
					case "one after another":
						f.restart(now, f.random.IntN(len(f.budgets)))
					}
				})
				retries, allowed := f.worst()
				c.Check(float64(retries) <= allowed, qt.IsTrue, qt.Commentf("%d retries, %.0f allowed", retries, allowed))
			})
		}
	}
}

// Hosts that each save up a retry in hours of little traffic must not spend them all at once.
func TestRetriesSavedByManyHostsDecay(t *testing.T) {
	c := qt.New(t)
	for _, hosts := range []int{9, 59, 295} {
		f := newRetryFleet(limiter.RetryLimit{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}, hosts, 3)
		quiet := start.Add(-time.Hour)
		for host := range f.budgets {
			f.restart(quiet, host)
			for second := range 3600 {
				f.budgets[host].Deposit(quiet.Add(time.Duration(second)*time.Second), service)
			}
		}
		// After hours of little traffic come as many requests as there are hosts, and all fail.
		for i := range hosts {
			f.serve(start.Add(time.Duration(i)*time.Second/time.Duration(hosts)), 3)
		}
		retries, allowed := f.worst()
		c.Check(float64(retries) <= allowed, qt.IsTrue, qt.Commentf("%d hosts: %d retries, %.0f allowed", hosts, retries, allowed))
	}
}

// What the limit allows is used, also where a host's part of the fixed number is less than one retry.
func TestRetriesUseMostOfTheLimit(t *testing.T) {
	c := qt.New(t)
	for hosts, least := range map[int]float64{1: 0.8, 9: 0.8, 59: 0.8, 295: 0.3} {
		f := newRetryFleet(limiter.RetryLimit{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}, hosts, 2)
		f.play(1800, func(time.Time) {})
		used := float64(len(f.retries)) / (f.limit.Ratio * float64(len(f.requests)) / 2)
		c.Check(used >= least, qt.IsTrue, qt.Commentf("%d hosts: %.2f", hosts, used))
	}
}

// The part of a host in a quiet service comes back without requests.
func TestARetryPartReturnsWithTime(t *testing.T) {
	c := qt.New(t)
	var b limiter.RetryBudget
	b.Divide(start, limiter.RetryLimit{Ratio: 0.2, Extra: 58}, 9)
	c.Check(b.Withdraw(start, service), qt.IsFalse)
	later := start.Add(time.Hour)
	for range 4 {
		c.Check(b.Withdraw(later, service), qt.IsTrue)
	}
	c.Check(b.Withdraw(later, service), qt.IsFalse)
}

// A limit of zero allows no retries; it isn't the default.
func TestALimitOfZeroAllowsNoRetries(t *testing.T) {
	c := qt.New(t)
	var b limiter.RetryBudget
	b.Divide(start, limiter.RetryLimit{}, 1)
	for range 100 {
		b.Deposit(start, service)
	}
	c.Check(b.Withdraw(start.Add(time.Hour), service), qt.IsFalse)
}

// Retries that waited for an endpoint were all sent at once, on top of what had been saved up meanwhile.
func TestReservedRetriesTakeRoomUntilTheyAreSent(t *testing.T) {
	c := qt.New(t)
	var b limiter.RetryBudget
	b.Divide(start, limiter.RetryLimit{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, 7)
	now := start.Add(time.Minute)
	reserved := 0
	for range 1000 {
		b.Deposit(now, service)
		for b.Reserve(now, service) {
			reserved++
		}
	}
	c.Check(reserved, qt.Equals, 10)
	for range reserved {
		b.Use(now, service)
	}
	c.Check(b.Withdraw(now, service), qt.IsFalse)
}

func TestAReservedRetryThatIsNotSentIsReturned(t *testing.T) {
	c := qt.New(t)
	var b limiter.RetryBudget
	b.Divide(start, limiter.RetryLimit{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, 7)
	now := start.Add(time.Minute)
	before := b.Withdraw(now, service)
	c.Assert(before, qt.IsTrue)
	left := b.Available(now)[service]
	c.Assert(b.Reserve(now, service), qt.IsTrue)
	c.Check(b.Available(now)[service], qt.Equals, left-1)
	b.Return(now, service)
	c.Check(b.Available(now)[service], qt.Equals, left)
}
