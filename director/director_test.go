package director_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/director"
)

const callers = 3000

func hosts(n int) []director.Host {
	zones := []dotterelpulley.ZoneID{"tartu-a", "tallinn-b", "parnu-c"}
	var all []director.Host
	for i := range n {
		all = append(all, director.Host{
			ID:   dotterelpulley.HostID(fmt.Sprintf("entry-%d", i)),
			Zone: zones[i%len(zones)],
		})
	}
	return all
}

func caller(i int) director.Caller {
	return director.Caller(fmt.Sprintf("10.0.%d.%d", i/250, i%250))
}

// hostsAtPosition counts the hosts at a position of the callers' orders that begin with the first host.
func hostsAtPosition(all []director.Host, position int, first dotterelpulley.HostID) map[dotterelpulley.HostID]int {
	counts := map[dotterelpulley.HostID]int{}
	for i := range callers {
		order := director.Director{}.Order(caller(i), "elsewhere", all)
		if first == "" || order[0].ID == first {
			counts[order[position].ID]++
		}
	}
	return counts
}

func TestCallersSpreadOverFirstAndSecondHosts(t *testing.T) {
	c := qt.New(t)
	all := hosts(8)
	firsts := hostsAtPosition(all, 0, "")
	for _, h := range all {
		share := float64(firsts[h.ID]) * float64(len(all)) / callers
		c.Check(share > 0.8 && share < 1.25, qt.IsTrue, qt.Commentf("%s gets %.2f of its share", h.ID, share))
	}
	seconds := hostsAtPosition(all, 1, "entry-3")
	for _, h := range all {
		if h.ID == "entry-3" {
			continue
		}
		share := float64(seconds[h.ID]) * float64(len(all)-1) / float64(firsts["entry-3"])
		c.Check(share > 0.5 && share < 1.6, qt.IsTrue, qt.Commentf("%s gets %.2f of its share of second places", h.ID, share))
	}
}

func TestOrderListsOnlyEligibleHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := hosts(rapid.IntRange(1, 12).Draw(t, "hosts"))
		alive := 0
		for i := range all {
			all[i].State = director.State(rapid.IntRange(0, 2).Draw(t, "state"))
			all[i].Load = rapid.Float64Range(0, 2).Draw(t, "load")
			if all[i].State == director.Alive {
				alive++
			}
		}
		order := director.Director{}.Order(caller(rapid.IntRange(0, 99).Draw(t, "caller")), "tartu-a", all)
		if len(order) > director.DefaultMaxHosts {
			t.Fatalf("%d hosts are listed", len(order))
		}
		if alive > 0 && len(order) == 0 {
			t.Fatal("no host is listed while some are alive")
		}
		seen := map[dotterelpulley.HostID]bool{}
		for _, h := range order {
			if seen[h.ID] {
				t.Fatalf("%s is listed twice", h.ID)
			}
			seen[h.ID] = true
			if h.State == director.Leaving || alive > 0 && h.State != director.Alive {
				t.Fatalf("%s is listed in state %d while %d hosts are alive", h.ID, h.State, alive)
			}
		}
	})
}

func TestSameZoneHostsComeFirstUnlessOverloaded(t *testing.T) {
	c := qt.New(t)
	all := hosts(6)
	for i := range callers {
		order := director.Director{}.Order(caller(i), "tallinn-b", all)
		c.Assert(order[0].Zone, qt.Equals, dotterelpulley.ZoneID("tallinn-b"))
		c.Assert(order[1].Zone, qt.Equals, dotterelpulley.ZoneID("tallinn-b"))
	}
	for i := range all {
		if all[i].Zone == "tallinn-b" {
			all[i].Load = 1
		}
	}
	elsewhere := 0
	for i := range callers {
		if (director.Director{}).Order(caller(i), "tallinn-b", all)[0].Zone != "tallinn-b" {
			elsewhere++
		}
	}
	c.Check(elsewhere > callers/2, qt.IsTrue, qt.Commentf("%d of %d callers start elsewhere", elsewhere, callers))
}
