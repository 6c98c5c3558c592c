package limiter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/limiter"
)

const (
	endpoint = dotterelpulley.EndpointID("engine-1")
	service  = dotterelpulley.ServiceID("kaasik-lm")
)

var start = time.Unix(1_700_000_000, 0)

func TestLimitFollowsTheTarget(t *testing.T) {
	tests := []struct {
		name   string
		sample limiter.Sample
		slots  int
		check  func(limit float64) bool
	}{
		{"grows while fast with requests waiting", limiter.Sample{BetweenTokens: 15 * time.Millisecond, Inflight: 8, Backlogged: true}, 0, func(l float64) bool { return l > 16 }},
		{"stays without requests waiting", limiter.Sample{BetweenTokens: 15 * time.Millisecond, Inflight: 8}, 0, func(l float64) bool { return l == 8 }},
		{"stays near the target", limiter.Sample{BetweenTokens: 40 * time.Millisecond, Inflight: 8, Backlogged: true}, 0, func(l float64) bool { return l == 8 }},
		{"falls beyond the target", limiter.Sample{BetweenTokens: 60 * time.Millisecond, Inflight: 8, Backlogged: true}, 0, func(l float64) bool { return l < 4 }},
		{"falls for late first tokens", limiter.Sample{FirstToken: 2 * time.Second, Inflight: 8, Backlogged: true}, 0, func(l float64) bool { return l < 4 }},
		{"stays within the slots", limiter.Sample{BetweenTokens: time.Millisecond, Inflight: 8, Backlogged: true}, 12, func(l float64) bool { return l == 12 }},
		{"stays at one or more", limiter.Sample{BetweenTokens: time.Second, Inflight: 8}, 0, func(l float64) bool { return l >= 1 && l < 1.5 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var l limiter.Limiter
			if test.slots > 0 {
				l.SetSlots(endpoint, test.slots)
			}
			for i := range 60 {
				l.Observe(start.Add(time.Duration(i)*time.Second), endpoint, test.sample)
			}
			c.Check(test.check(l.Limit(endpoint)), qt.IsTrue, qt.Commentf("limit %.2f", l.Limit(endpoint)))
		})
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	var b limiter.RetryBudget
	retries := 0
	for range 1000 {
		b.Deposit(start, service)
		if b.Withdraw(start, service) {
			retries++
		}
	}
	c.Check(retries <= 110, qt.IsTrue, qt.Commentf("%d retries of 1000 requests", retries))
	c.Check(retries >= 100, qt.IsTrue, qt.Commentf("%d retries of 1000 requests", retries))
	c.Check(b.Withdraw(start, service), qt.IsFalse)
	c.Check(b.Withdraw(start.Add(10*time.Second), service), qt.IsTrue)
	c.Check(b.Withdraw(start, "laotus-app"), qt.IsTrue)
}
