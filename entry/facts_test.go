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

func TestCrashFactsReachAllHostsAndInvalidFactsAreRefused(t *testing.T) {
	f := newFleet(t, 3, nil)
	now := time.Now()
	crash := isolator.Crash{Fingerprint: 7, Endpoint: "draft-1", Attempt: isolator.AttemptOf("a1"), Started: now.Add(-time.Second), At: now}
	f.entries[0].gossip.broadcastCrash(now, []isolator.Crash{crash})
	for _, e := range f.entries[1:] {
		f.until("the crash is known", func() bool { return e.counters.Get("crash-facts-heard") == 1 })
		v, _ := e.isolation.check(7)
		f.Check(v, qt.Equals, isolator.Suspect)
	}
	crashes, err := crashFacts([]isolator.Crash{crash})
	f.Assert(err, qt.IsNil)
	good := crashes[0]
	verdict, err := badVersionFact(now, recorder.BadVersion{Move: recorder.MoveID{Note: "n", Service: "s"}, Version: "v", ReportedBy: "h"})
	f.Assert(err, qt.IsNil)
	f.Check(acceptable(good) && acceptable(verdict), qt.IsTrue)
	truncated, unknownKind, mismatched, oversized := good, good, verdict, good
	truncated.Value = truncated.Value[:len(truncated.Value)-3]
	unknownKind.Kind = "weather"
	mismatched.Subject = "other/s"
	oversized.Value = make([]byte, maxFactValueBytes+1)
	var facts []*peerpb.Fact
	for _, invalid := range []gossiper.Fact{truncated, unknownKind, mismatched, oversized} {
		f.Check(acceptable(invalid), qt.IsFalse, qt.Commentf("%+v", invalid))
		facts = append(facts, factToWire(invalid))
	}
	e := f.entries[2]
	e.gossip.receive(now, &peerpb.ExchangeRequest{Sender: &peerpb.Member{Host: "stranger"}, Facts: facts})
	f.Check(e.counters.Get("facts-refused"), qt.Equals, int64(len(facts)))
}

func TestManyCrashesFitIntoFewFacts(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1, 0)
	var crashes []isolator.Crash
	for i := range 100 {
		crashes = append(crashes, isolator.Crash{
			Fingerprint: isolator.Fingerprint(i),
			Endpoint:    "draft-1",
			Attempt:     isolator.AttemptOf(fmt.Sprint(i)),
			Started:     at.Add(-time.Duration(i) * time.Hour),
			At:          at,
		})
	}
	facts, err := crashFacts(crashes)
	c.Assert(err, qt.IsNil)
	c.Check(len(facts) <= 3, qt.IsTrue, qt.Commentf("%d facts", len(facts)))
	var decoded []isolator.Crash
	bytes := 0
	for _, f := range facts {
		c.Check(acceptable(f), qt.IsTrue, qt.Commentf("fact of %d bytes", len(f.Value)))
		some, err := decodeCrash(f)
		c.Assert(err, qt.IsNil)
		decoded = append(decoded, some...)
		bytes += len(f.Value)
	}
	c.Check(decoded, qt.DeepEquals, crashes)
	t.Logf("%d crashes in %d facts of %d bytes", len(crashes), len(facts), bytes)
}

func TestBadVersionPostedToOneHostReachesAll(t *testing.T) {
	f := newFleet(t, 3, nil)
	bad := recorder.BadVersion{Move: recorder.MoveID{Note: "n", Service: testService}, Version: "v", Reason: strings.Repeat("slow ", 1000), ReportedBy: "mover"}
	data, err := recorder.Encode(recorder.Envelope{ID: "posted", Body: bad})
	f.Assert(err, qt.IsNil)
	_, err = f.entries[1].callPeer(http.MethodPost, f.entries[0].settings.PeerAddress, "/v1/bad-versions", data)
	f.Assert(err, qt.IsNil)
	for _, e := range f.entries {
		f.until("the verdict is known", func() bool { return e.counters.Get("bad-version-heard") == 1 })
	}
}
