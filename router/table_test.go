package router

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTheLongestPrefixOfTheHostMatches(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Configuration{Routes: []Route{
		{ID: "short", Host: "h.example", Prefix: "/a/"},
		{ID: "long", Host: "h.example", Prefix: "/a/b/"},
		{ID: "other", Host: "o.example", Prefix: "/a/b/c/"},
	}})
	for path, want := range map[string]string{"/a/b/c/": "long", "/a/b": "short", "/a/x": "short"} {
		r, ok := table.Match("H.example:80", path)
		c.Assert(ok, qt.IsTrue)
		c.Check(string(r.ID), qt.Equals, want)
	}
	for _, path := range []string{"/a", "/", "", "/b/a/"} {
		_, ok := table.Match("h.example", path)
		c.Check(ok, qt.IsFalse, qt.Commentf("%q", path))
	}
	_, ok := table.Match("n.example", "/a/")
	c.Assert(ok, qt.IsFalse)
}

func TestKeysBelongToTheirOrganisation(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Configuration{Organisations: []Organisation{{ID: "t1", Keys: []CallerKey{"k1", "k2"}}, {ID: "t2", Keys: []CallerKey{"k3"}}}})
	o, ok := table.OrganisationForKey("k2")
	c.Assert(ok, qt.IsTrue)
	c.Assert(string(o.ID), qt.Equals, "t1")
	_, ok = table.OrganisationForKey("k4")
	c.Assert(ok, qt.IsFalse)
}

func TestServicesAreSelectedByWeight(t *testing.T) {
	c := qt.New(t)
	r := Route{Shares: []Share{{Service: "none", Weight: 0}, {Service: "most", Weight: 90}, {Service: "few", Weight: 10}}}
	counts := map[string]int{}
	const requests = 10_000
	for i := range requests {
		id, ok := r.SelectService(fmt.Sprint("request-", i))
		c.Assert(ok, qt.IsTrue)
		counts[string(id)]++
	}
	c.Assert(counts["none"], qt.Equals, 0)
	// Three standard deviations of a tenth of 10,000 are 90.
	c.Assert(counts["few"] > 910 && counts["few"] < 1090, qt.IsTrue, qt.Commentf("%v", counts))
	_, ok := (&Route{}).SelectService("x")
	c.Assert(ok, qt.IsFalse)
}

func TestPatienceIsThatOfTheRoutesCallers(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ objective, interval, patience time.Duration }{
		{0, 0, 2 * time.Second},
		{400 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second},
		{time.Second, 250 * time.Millisecond, 4 * time.Second},
		{400 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second},
	} {
		r := Route{Objective: test.objective, MaxEventInterval: test.interval}
		c.Check(r.Patience(), qt.Equals, test.patience)
	}
}
