package rationer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// A faulty host that told the usage of ever new organisations filled the memory of the others.
func TestOrganisationsThatAFaultyHostNamesFillTheMemory(t *testing.T) {
	c := qt.New(t)
	var r Rationer
	now := time.Unix(1000, 0)
	r.SetCap(now, "capped", Cap{Rate: 100, Burst: 100})
	const reports, names = 100, 1000
	for n := range reports {
		now = now.Add(100 * time.Millisecond)
		usage := map[dotterelpulley.OrganisationID]Amount{"capped": Amount(n)}
		for name := range names {
			usage[dotterelpulley.OrganisationID(fmt.Sprintf("%d-%d", n, name))] = 1
		}
		r.RecordPeerUsage(now, "faulty", 1, Report{Usage: usage, Counted: now.Sub(time.Unix(1000, 0))})
		r.RecordPeerChanges(now, "faulty", 1, usage)
		r.AdoptHistory(now, History{Known: time.Hour, Slot: r.window() / (slotCount - 1), Usage: map[dotterelpulley.OrganisationID][]Amount{
			dotterelpulley.OrganisationID(fmt.Sprintf("history-%d", n)): {1},
		}})
	}
	c.Assert(len(r.accounts) <= maxUnknownAccounts+1, qt.IsTrue, qt.Commentf("%d accounts", len(r.accounts)))
	c.Assert(len(r.peers["faulty"].usage) <= maxUnknownAccounts+1, qt.IsTrue)
	remaining, ok := r.Remaining(now, "capped")
	c.Assert(ok, qt.IsTrue)
	c.Assert(remaining < 900-50, qt.IsTrue, qt.Commentf("%.0f remain though most of %d is used", remaining, reports))
}

// The usage that others tell of an organisation must count once this host gets its cap, whatever a faulty host has named before.
func TestACapThatComesLateKnowsWhatOthersHaveUsed(t *testing.T) {
	c := qt.New(t)
	var r Rationer
	start := time.Unix(1000, 0)
	now := start
	r.init(now)
	for n := range maxUnknownAccounts + 500 {
		usage := map[dotterelpulley.OrganisationID]Amount{dotterelpulley.OrganisationID(fmt.Sprint(n)): 1}
		r.RecordPeerUsage(now, "faulty", uint64(n), Report{Usage: usage, Counted: time.Millisecond})
	}
	now = now.Add(2 * r.window())
	r.RecordPeerUsage(now, "sound", 1, Report{Usage: map[dotterelpulley.OrganisationID]Amount{"new": 0}, Counted: time.Second})
	now = now.Add(time.Second)
	r.RecordPeerUsage(now, "sound", 1, Report{Usage: map[dotterelpulley.OrganisationID]Amount{"new": 500}, Counted: 2 * time.Second})
	r.SetCap(now, "new", Cap{Rate: 100})
	remaining, ok := r.Remaining(now, "new")
	c.Assert(ok, qt.IsTrue)
	c.Assert(remaining <= 300, qt.IsTrue, qt.Commentf("%.0f remain of 800", remaining))
}
