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

func endpointID(i int) dotterelpulley.EndpointID {
	return dotterelpulley.EndpointID(fmt.Sprintf("engine-%d", i))
}

func endpoints(n int) []dotterelpulley.Endpoint {
	var all []dotterelpulley.Endpoint
	for i := range n {
		all = append(all, dotterelpulley.Endpoint{
			ID: endpointID(i), Service: service, Versions: []dotterelpulley.VersionID{"v1", "v2"},
		})
	}
	return all
}

func newPicker(n int) *picker.Picker {
	p := &picker.Picker{Seed: 1}
	p.SetEndpoints(service, endpoints(n))
	return p
}

func newCriteria() picker.Criteria {
	return picker.Criteria{RouteKey: picker.RouteKey{Service: service, Route: "door-card"}, PromptBytes: 2000, MaxTokens: 100}
}

// sendRequests sends n requests and counts them by endpoint.
func sendRequests(p *picker.Picker, now time.Time, n int, criteria picker.Criteria) map[dotterelpulley.EndpointID]int {
	got := map[dotterelpulley.EndpointID]int{}
	for range n {
		choice, verdict := p.Choose(now, criteria)
		if verdict != picker.Chosen {
			continue
		}
		p.Sent(now, choice)
		got[choice.Endpoint]++
	}
	return got
}

func TestKeepsNewWorkFromUnusableEndpoints(t *testing.T) {
	tests := []struct {
		name    string
		disable func(p *picker.Picker)
		verdict picker.Verdict
	}{
		{"leaving", func(p *picker.Picker) { p.MarkLeaving(endpointID(0)) }, picker.NoEndpoint},
		{"suspect", func(p *picker.Picker) { p.Suspect(endpointID(0), start.Add(time.Second)) }, picker.NoEndpoint},
		{"full", func(p *picker.Picker) {
			p.SetLimit(endpointID(0), 4)
			p.Report(start, endpointID(0), picker.Report{Running: 4, MeasuredAt: start})
		}, picker.NoCapacity},
		{"gone", func(p *picker.Picker) { p.SetEndpoints(service, nil) }, picker.NoEndpoint},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPicker(1)
			test.disable(p)
			_, verdict := p.Choose(start, newCriteria())
			c.Check(verdict, qt.Equals, test.verdict)
		})
	}
}

func TestReserveStaysFree(t *testing.T) {
	c := qt.New(t)
	p := newPicker(1)
	p.SetLimit(endpointID(0), 10)
	lowTier := newCriteria()
	lowTier.Reserve = 0.3
	c.Check(sendRequests(p, start, 20, lowTier)[endpointID(0)], qt.Equals, 7)
	c.Check(sendRequests(p, start, 20, newCriteria())[endpointID(0)], qt.Equals, 3)
}

func TestFasterEndpointsGetMoreRequests(t *testing.T) {
	c := qt.New(t)
	p := newPicker(2)
	for i, gap := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond} {
		choice := picker.Choice{RouteKey: newCriteria().RouteKey, Endpoint: endpointID(i)}
		p.SetLimit(endpointID(i), 100)
		p.Ended(start, choice, picker.Result{Tokens: 100, BetweenTokens: gap})
	}
	got := sendRequests(p, start, 50, newCriteria())
	c.Check(got[endpointID(0)] > 2*got[endpointID(1)], qt.IsTrue, qt.Commentf("%v", got))
}

func TestContradictedReportIsDistrusted(t *testing.T) {
	c := qt.New(t)
	p := newPicker(2)
	now := start
	for i := range 2 {
		p.SetLimit(endpointID(i), 50)
	}
	sendRequests(p, now, 20, newCriteria())
	own := p.Load(now, endpointID(0))
	for range 10 {
		now = now.Add(time.Second)
		p.Report(now, endpointID(0), picker.Report{MeasuredAt: now})
	}
	c.Check(p.Load(now, endpointID(0)) >= own, qt.IsTrue)
}

func TestOldReportsCountLess(t *testing.T) {
	c := qt.New(t)
	p := newPicker(1)
	p.Report(start, endpointID(0), picker.Report{Running: 8, MeasuredAt: start})
	fresh := p.Load(start, endpointID(0))
	c.Check(fresh, qt.Equals, 8.0)
	c.Check(p.Load(start.Add(30*time.Second), endpointID(0)) < fresh/8, qt.IsTrue)
}

func TestPrefersACachedPrefixWithinBounds(t *testing.T) {
	c := qt.New(t)
	p := newPicker(10)
	for i := range 10 {
		p.SetLimit(endpointID(i), 40)
	}
	criteria := newCriteria()
	criteria.PromptBytes = 40000
	criteria.Prefixes = []picker.PrefixHash{11, 12, 13, 14, 15, 16, 17, 18}
	p.Cached(start, endpointID(3), 18)
	first, _ := p.Choose(start, criteria)
	c.Check(first.Endpoint, qt.Equals, endpointID(3))
	got := sendRequests(p, start, 200, criteria)
	c.Check(got[endpointID(3)] <= 40, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(len(got) > 5, qt.IsTrue, qt.Commentf("%v", got))
}

func TestRequestedAndExcludedVersionsAreRespected(t *testing.T) {
	c := qt.New(t)
	p := newPicker(3)
	for _, version := range []dotterelpulley.VersionID{"v1", "v2"} {
		criteria := newCriteria()
		criteria.Version = version
		choice, verdict := p.Choose(start, criteria)
		c.Assert(verdict, qt.Equals, picker.Chosen)
		c.Check(choice.Version, qt.Equals, version)
	}
	criteria := newCriteria()
	criteria.ExcludedVersions = []dotterelpulley.VersionID{"v1"}
	choice, _ := p.Choose(start, criteria)
	c.Check(choice.Version, qt.Equals, dotterelpulley.VersionID("v2"))
	criteria.ExcludedVersions = append(criteria.ExcludedVersions, "v2")
	_, verdict := p.Choose(start, criteria)
	c.Check(verdict, qt.Equals, picker.NoEndpoint)
	c.Check(p.Serves(start, service, "v2"), qt.IsTrue)
	c.Check(p.Serves(start, service, "v3"), qt.IsFalse)
}

func TestFailedRunsRaiseSuspicion(t *testing.T) {
	c := qt.New(t)
	p := newPicker(1)
	choice, _ := p.Choose(start, newCriteria())
	p.Sent(start, choice)
	p.Ended(start, choice, picker.Result{Outcome: picker.RunFailed})
	_, verdict := p.Choose(start, newCriteria())
	c.Check(verdict, qt.Equals, picker.NoEndpoint)
	_, verdict = p.Choose(start.Add(time.Second), newCriteria())
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
		lowest, highest := math.MaxInt, 0
		for _, e := range all {
			lowest = min(lowest, covered[e.ID])
			highest = max(highest, covered[e.ID])
		}
		if lowest < 1 || highest-lowest > 1 {
			t.Fatalf("%d endpoints are covered by %d to %d of %d hosts", len(all), lowest, highest, hosts)
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
			criteria := newCriteria()
			criteria.Prefixes = []picker.PrefixHash{1, 2, 3, 4}
			b.ReportAllocs()
			for b.Loop() {
				choice, verdict := p.Choose(start, criteria)
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
