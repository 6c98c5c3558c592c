package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

// sendPlan sends a plan and returns its status and, unless it succeeded, its refusal.
func (f *fleet) sendPlan(to int, key, prompt string) (int, wireRefusal) {
	return f.refusal(f.send(to, key, prompt, ""))
}

// keyHeldBy returns a new key that the host holds.
func (f *fleet) keyHeldBy(host int, name string) string {
	for i := 0; ; i++ {
		key := fmt.Sprintf("%s-%d", name, i)
		hash := claimer.HashKey(dotterelpulley.Key{Organisation: "council", Idempotency: dotterelpulley.IdempotencyKey(key)})
		session := f.entries[host].claims.session()
		if f.entries[0].claims.session().roster().Ranges[hash.Range()].Holder == session.core.Self.Incarnation {
			return key
		}
	}
}

func (f *fleet) rangesSettled() bool {
	for _, e := range f.entries {
		state := e.claims.session().roster()
		if len(state.Members) != len(f.entries) {
			return false
		}
		for _, r := range state.Ranges {
			if r.Holder != r.Target {
				return false
			}
		}
	}
	return true
}

// joinedAt returns the index of the host at the given position on the roster, which is ordered by time of joining.
func (f *fleet) joinedAt(position int) int {
	member := f.entries[0].claims.session().roster().Members[position]
	return slices.IndexFunc(f.entries, func(e *Entry) bool { return e.settings.Host == member.Host })
}

// allRenewed reports whether every member has renewed since the newest change of the roster.
func (f *fleet) allRenewed() bool {
	state := f.entries[0].claims.session().roster()
	return !slices.ContainsFunc(state.Members, func(m claimer.RosterMember) bool { return m.RenewBase < state.Epoch })
}

// TestKeysOfDeadHostMoveToNewHolder stops a host without signing it off and removes it from the host list. Each position
// on the roster is a case, because the last renewal of the host that joined first covers the least of the roster.
func TestKeysOfDeadHostMoveToNewHolder(t *testing.T) {
	for position, name := range []string{"first to join", "second", "last to join"} {
		t.Run(name, func(t *testing.T) { testKeysOfDeadHost(t, position) })
	}
}

func testKeysOfDeadHost(t *testing.T, position int) {
	f := newFleet(t, 3, nil)
	f.until("every range is held by its target", f.rangesSettled)
	f.until("every host has renewed since the newest change of the roster", f.allRenewed)
	dead := f.joinedAt(position)
	alive := (dead + 1) % len(f.entries)
	old := f.keyHeldBy(dead, "old")
	status, _ := f.sendPlan(alive, old, "old len=4")
	f.Assert(status, qt.Equals, http.StatusOK)
	fresh := f.keyHeldBy(dead, "fresh")
	closedAt := time.Now()
	f.Assert(f.entries[dead].Close(), qt.IsNil)
	f.hosts.Remove(f.entries[dead].settings.Host)
	f.until("a key of the dead host is answered", func() bool {
		status, refusal := f.sendPlan(alive, fresh, "fresh len=4")
		f.Check(refusal.Truth, qt.Not(qt.Equals), dotterelpulley.NotRun.String())
		return status == http.StatusOK
	})
	f.Logf("a key of the dead host was answered %s after its death", time.Since(closedAt).Round(time.Millisecond))
	for to := range f.entries {
		if to == dead {
			continue
		}
		_, refusal := f.sendPlan(to, old, "old len=4")
		f.Check(refusal.Error, qt.Equals, dotterelpulley.ErrorOutcomeUnknown.String())
	}
	f.Check(standin.DuplicateKeys(f.engine.Ledger.Runs()), qt.HasLen, 0)
}

// TestDrainedHostHandsItsKeysOver checks that the keys of a host that signed off run on other hosts immediately.
func TestDrainedHostHandsItsKeysOver(t *testing.T) {
	f := newFleet(t, 3, nil)
	f.until("every range is held by its target", f.rangesSettled)
	key := f.keyHeldBy(2, "fresh")
	f.entries[2].Drain(t.Context())
	f.Check(f.entries[2].claims.signedOff(), qt.IsTrue)
	f.until("the host is off the roster", func() bool { return len(f.entries[0].claims.session().roster().Members) == 2 })
	status, refusal := f.sendPlan(0, key, "fresh len=4")
	f.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%+v", refusal))
	status, refusal = f.sendPlan(2, f.keyHeldBy(0, "late"), "late len=4")
	f.Check(status, qt.Not(qt.Equals), http.StatusOK)
	f.Check(refusal.Truth, qt.Equals, dotterelpulley.OutcomeUnknown.String())
}

// TestKeylessPlanNeedsNoClaim checks that plans without a key append no claims.
func TestKeylessPlanNeedsNoClaim(t *testing.T) {
	f := newFleet(t, 2, nil)
	f.until("every range is held by its target", f.rangesSettled)
	for i := range 5 {
		status, _ := f.sendPlan(0, "", fmt.Sprintf("keyless %d len=3", i))
		f.Check(status, qt.Equals, http.StatusOK)
	}
	f.Check(f.entries[0].counters.Get("keys-claimed"), qt.Equals, int64(0))
	status, _ := f.sendPlan(0, f.keyHeldBy(0, "mine"), "mine len=3")
	f.Check(status, qt.Equals, http.StatusOK)
	f.Check(f.entries[0].counters.Get("keys-claimed"), qt.Equals, int64(1))
}

// TestSecondSignalEndsActiveRequestsAsUnknown stops a host by a second signal while a plan is active on it.
func TestSecondSignalEndsActiveRequestsAsUnknown(t *testing.T) {
	f := newFleet(t, 1, nil)
	f.until("every range is held by its target", f.rangesSettled)
	var tasks conc.WaitGroup
	var status int
	var refusal wireRefusal
	tasks.Go(func() { status, refusal = f.sendPlan(0, "long", "long len=100000") })
	f.until("the plan runs", func() bool { return f.entries[0].runs.active() == 1 && len(f.engine.Ledger.Runs()) == 1 })
	second, signal := context.WithCancel(t.Context())
	signal()
	f.entries[0].Drain(second)
	f.Check(f.entries[0].Close(), qt.IsNil)
	tasks.Wait()
	f.Check(status, qt.Equals, http.StatusBadGateway)
	f.Check(refusal.Truth, qt.Equals, dotterelpulley.OutcomeUnknown.String())
}
