package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/gossiper"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

func TestCrashFactsReachEveryHostAndDamagedOnesNone(t *testing.T) {
	f := newFleet(t, 3, nil)
	now := time.Now()
	death := isolator.Crash{Fingerprint: 7, Endpoint: "draft-1", Attempt: isolator.AttemptOf("a1"), Started: now.Add(-time.Second), At: now}
	f.entries[0].gossip.spreadDeaths(now, []isolator.Crash{death})
	for _, e := range f.entries[1:] {
		f.until("the crash is known", func() bool { return e.counters.Get("crash-facts-heard") == 1 })
		v, _ := e.isolation.judge(7)
		f.Check(v, qt.Equals, isolator.Suspect)
	}
	crashes, err := crashFacts([]isolator.Crash{death})
	f.Assert(err, qt.IsNil)
	good := crashes[0]
	verdict, err := badFact(now, recorder.BadVersion{Move: recorder.MoveID{Note: "n", Service: "s"}, Version: "v", By: "h"})
	f.Assert(err, qt.IsNil)
	f.Check(readable(good) && readable(verdict), qt.IsTrue)
	cut, foreign, swapped, large := good, good, verdict, good
	cut.Value = cut.Value[:len(cut.Value)-3]
	foreign.Kind = "weather"
	swapped.Subject = "other/s"
	large.Value = make([]byte, maxFactValue+1)
	var facts []*peerpb.Fact
	for _, damaged := range []gossiper.Fact{cut, foreign, swapped, large} {
		f.Check(readable(damaged), qt.IsFalse, qt.Commentf("%+v", damaged))
		facts = append(facts, factToWire(damaged))
	}
	e := f.entries[2]
	e.gossip.receive(now, &peerpb.ExchangeRequest{Sender: &peerpb.Member{Host: "stranger"}, Facts: facts})
	f.Check(e.counters.Get("facts-refused"), qt.Equals, int64(len(facts)))
}

func TestManyDeathsFitIntoFewFacts(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1, 0)
	var deaths []isolator.Crash
	for i := range 100 {
		deaths = append(deaths, isolator.Crash{
			Fingerprint: isolator.Fingerprint(i),
			Endpoint:    "draft-1",
			Attempt:     isolator.AttemptOf(fmt.Sprint(i)),
			Started:     at.Add(-time.Duration(i) * time.Hour),
			At:          at,
		})
	}
	facts, err := crashFacts(deaths)
	c.Assert(err, qt.IsNil)
	c.Check(len(facts) <= 3, qt.IsTrue, qt.Commentf("%d facts", len(facts)))
	var back []isolator.Crash
	bytes := 0
	for _, f := range facts {
		c.Check(readable(f), qt.IsTrue, qt.Commentf("fact of %d bytes", len(f.Value)))
		some, err := deathsOf(f)
		c.Assert(err, qt.IsNil)
		back = append(back, some...)
		bytes += len(f.Value)
	}
	c.Check(back, qt.DeepEquals, deaths)
	t.Logf("%d deaths in %d facts of %d bytes", len(deaths), len(facts), bytes)
}

func TestAVerdictPostedToOneHostReachesAll(t *testing.T) {
	f := newFleet(t, 3, nil)
	bad := recorder.BadVersion{Move: recorder.MoveID{Note: "n", Service: testService}, Version: "v", Reason: strings.Repeat("slow ", 1000), By: "mover"}
	data, err := recorder.Encode(recorder.Envelope{ID: "posted", Body: bad})
	f.Assert(err, qt.IsNil)
	_, err = f.entries[1].callPeer(http.MethodPost, f.entries[0].settings.PeerAddress, "/v1/bad-versions", data)
	f.Assert(err, qt.IsNil)
	for _, e := range f.entries {
		f.until("the verdict is known", func() bool { return e.counters.Get("bad-version-heard") == 1 })
	}
}
