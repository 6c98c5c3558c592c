package picker_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/picker"
)

const service = dotterelpulley.ServiceID("kaasik-lm")

var start = time.Unix(1_700_000_000, 0)

func named(i int) dotterelpulley.EndpointID {
	return dotterelpulley.EndpointID(fmt.Sprintf("engine-%d", i))
}

func endpoints(n int) []dotterelpulley.Endpoint {
	var all []dotterelpulley.Endpoint
	for i := range n {
		all = append(all, dotterelpulley.Endpoint{
			ID: named(i), Service: service, Versions: []dotterelpulley.VersionID{"v1", "v2"},
		})
	}
	return all
}

func pickerOf(n int) *picker.Picker {
	p := &picker.Picker{Seed: 1}
	p.SetEndpoints(service, endpoints(n))
	return p
}

func ask() picker.Criteria {
	return picker.Criteria{RouteKey: picker.RouteKey{Service: service, Route: "door-card"}, PromptBytes: 2000, MaxTokens: 100}
}

// spread sends n requests and counts them by endpoint.
func spread(p *picker.Picker, now time.Time, n int, a picker.Criteria) map[dotterelpulley.EndpointID]int {
	got := map[dotterelpulley.EndpointID]int{}
	for range n {
		choice, verdict := p.Choose(now, a)
		if verdict != picker.Chosen {
			continue
		}
		p.Sent(now, choice)
		got[choice.Endpoint]++
	}
	return got
}

func TestKeepsNewWorkFromUnfitEndpoints(t *testing.T) {
	tests := []struct {
		name    string
		do      func(p *picker.Picker)
		verdict picker.Verdict
	}{
		{"leaving", func(p *picker.Picker) { p.MarkLeaving(named(0)) }, picker.NoEndpoint},
		{"suspect", func(p *picker.Picker) { p.Suspect(named(0), start.Add(time.Second)) }, picker.NoEndpoint},
		{"full", func(p *picker.Picker) {
			p.SetLimit(named(0), 4)
			p.Report(start, named(0), picker.Report{Running: 4, MeasuredAt: start})
		}, picker.NoCapacity},
		{"gone", func(p *picker.Picker) { p.SetEndpoints(service, nil) }, picker.NoEndpoint},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := pickerOf(1)
			test.do(p)
			_, verdict := p.Choose(start, ask())
			c.Check(verdict, qt.Equals, test.verdict)
		})
	}
}

func TestReserveStaysFree(t *testing.T) {
	c := qt.New(t)
	p := pickerOf(1)
	p.SetLimit(named(0), 10)
	low := ask()
	low.Reserve = 0.3
	c.Check(spread(p, start, 20, low)[named(0)], qt.Equals, 7)
	c.Check(spread(p, start, 20, ask())[named(0)], qt.Equals, 3)
}

func TestFastEndpointsGetMore(t *testing.T) {
	c := qt.New(t)
	p := pickerOf(2)
	for i, gap := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond} {
		choice := picker.Choice{RouteKey: ask().RouteKey, Endpoint: named(i)}
		p.SetLimit(named(i), 100)
		p.Ended(start, choice, picker.Result{Tokens: 100, BetweenTokens: gap})
	}
	got := spread(p, start, 50, ask())
	c.Check(got[named(0)] > 2*got[named(1)], qt.IsTrue, qt.Commentf("%v", got))
}

func TestALyingReportIsNotBelieved(t *testing.T) {
	c := qt.New(t)
	p := pickerOf(2)
	now := start
	for i := range 2 {
		p.SetLimit(named(i), 50)
	}
	spread(p, now, 20, ask())
	own := p.Load(now, named(0))
	for range 10 {
		now = now.Add(time.Second)
		p.Report(now, named(0), picker.Report{MeasuredAt: now})
	}
	c.Check(p.Load(now, named(0)) >= own, qt.IsTrue)
}

func TestOldReportsCountLess(t *testing.T) {
	c := qt.New(t)
	p := pickerOf(1)
	p.Report(start, named(0), picker.Report{Running: 8, MeasuredAt: start})
	fresh := p.Load(start, named(0))
	c.Check(fresh, qt.Equals, 8.0)
	c.Check(p.Load(start.Add(30*time.Second), named(0)) < fresh/8, qt.IsTrue)
}

func TestPrefersACachedPrefixWithinBounds(t *testing.T) {
	c := qt.New(t)
	p := pickerOf(10)
	for i := range 10 {
		p.SetLimit(named(i), 40)
	}
	a := ask()
	a.PromptBytes = 40000
	a.Prefixes = []picker.PrefixHash{11, 12, 13, 14, 15, 16, 17, 18}
	p.Cached(start, named(3), 18)
	first, _ := p.Choose(start, a)
	c.Check(first.Endpoint, qt.Equals, named(3))
	got := spread(p, start, 200, a)
	c.Check(got[named(3)] <= 40, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(len(got) > 5, qt.IsTrue, qt.Commentf("%v", got))
}

func TestVersionsAreKeptTo(t *testing.T) {
	c := qt.New(t)
	p := pickerOf(3)
	for _, version := range []dotterelpulley.VersionID{"v1", "v2"} {
		a := ask()
		a.Version = version
		choice, verdict := p.Choose(start, a)
		c.Assert(verdict, qt.Equals, picker.Chosen)
		c.Check(choice.Version, qt.Equals, version)
	}
	a := ask()
	a.ExcludedVersions = []dotterelpulley.VersionID{"v1"}
	choice, _ := p.Choose(start, a)
	c.Check(choice.Version, qt.Equals, dotterelpulley.VersionID("v2"))
	a.ExcludedVersions = append(a.ExcludedVersions, "v2")
	_, verdict := p.Choose(start, a)
	c.Check(verdict, qt.Equals, picker.NoEndpoint)
	c.Check(p.Serves(start, service, "v2"), qt.IsTrue)
	c.Check(p.Serves(start, service, "v3"), qt.IsFalse)
}

func TestBrokenRunsRaiseSuspicion(t *testing.T) {
	c := qt.New(t)
	p := pickerOf(1)
	choice, _ := p.Choose(start, ask())
	p.Sent(start, choice)
	p.Ended(start, choice, picker.Result{Outcome: picker.RunFailed})
	_, verdict := p.Choose(start, ask())
	c.Check(verdict, qt.Equals, picker.NoEndpoint)
	_, verdict = p.Choose(start.Add(time.Second), ask())
	c.Check(verdict, qt.Equals, picker.Chosen)
}

func TestSubsetsCoverEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 400).Draw(t, "hosts")
		all := endpoints(rapid.IntRange(1, 2300).Draw(t, "endpoints"))
		covered := map[dotterelpulley.EndpointID]int{}
		for rank := range hosts {
			for _, e := range picker.Subset(all, picker.HostPosition{Rank: rank, Hosts: hosts}, 0) {
				covered[e.ID]++
			}
		}
		least, most := math.MaxInt, 0
		for _, e := range all {
			least = min(least, covered[e.ID])
			most = max(most, covered[e.ID])
		}
		if least < 1 || most-least > 1 {
			t.Fatalf("%d endpoints are covered by %d to %d of %d hosts", len(all), least, most, hosts)
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 300, 2200} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			p := &picker.Picker{Seed: 1}
			p.SetHostCount(service, 8)
			used := picker.Subset(endpoints(n), picker.HostPosition{Rank: 1, Hosts: max(7, n/7)}, 0)
			p.SetEndpoints(service, used)
			for _, e := range used {
				p.SetLimit(e.ID, 30)
				p.Report(start, e.ID, picker.Report{Running: 10, MeasuredAt: start})
			}
			a := ask()
			a.Prefixes = []picker.PrefixHash{1, 2, 3, 4}
			b.ReportAllocs()
			for b.Loop() {
				choice, verdict := p.Choose(start, a)
				if verdict != picker.Chosen {
					b.Fatal(verdict)
				}
				p.Sent(start, choice)
				p.FirstToken(choice, 50*time.Millisecond)
				p.Ended(start, choice, picker.Result{Outcome: picker.RunCompleted, Tokens: 100, BetweenTokens: 20 * time.Millisecond})
			}
		})
	}
}
