package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

func (f *fleet) append(stream appender.Stream, id string, base dotterelpulley.Revision, body recorder.Body) appender.Offset {
	data, err := recorder.Encode(recorder.Envelope{ID: recorder.RecordID(id), Base: base, Body: body})
	f.Assert(err, qt.IsNil)
	client := appender.Client{Address: f.log.Address()}
	offset, err := client.Append(stream, data)
	f.Assert(err, qt.IsNil)
	return offset
}

func (e *Entry) revision() dotterelpulley.Revision {
	e.logState.mu.Lock()
	defer e.logState.mu.Unlock()
	return e.logState.follower.Configuration().Revision
}

func (e *Entry) shares(service dotterelpulley.ServiceID) []dotterelpulley.Share {
	e.logState.mu.Lock()
	defer e.logState.mu.Unlock()
	return e.logState.follower.Shares(service, time.Now())
}

// TestHostsThatCannotReadTheLogFollowTheirPeers lets only one of four hosts read the log.
func TestHostsThatCannotReadTheLogFollowTheirPeers(t *testing.T) {
	const changes = 4
	f := newFleet(t, 4, func(f *fleet, s *Settings) {
		if s.Host != "entry-1" {
			s.LogAddress = f.freeAddress()
		}
	})
	base := f.entries[0].revision()
	var longest time.Duration
	for i := range changes {
		appended := time.Now()
		base = dotterelpulley.Revision(f.append(appender.StreamConfiguration, fmt.Sprint("r", i), base, recorder.Delta{
			Organisations: []dotterelpulley.OrganisationSettings{{ID: "o", Weight: i + 1}},
		}))
		for _, e := range f.entries {
			f.until("the revision is in force", func() bool { return e.revision() == base })
		}
		longest = max(longest, time.Since(appended))
	}
	f.Logf("longest of %d changes until in force on 4 hosts, 3 without the log: %s", changes, longest)
	for _, e := range f.entries {
		f.until("the host is ready", e.ready)
	}
}

// TestBadVersionStopsOnAllHostsWithoutTheLog lets one host judge a version as bad while no host can read the log.
func TestBadVersionStopsOnAllHostsWithoutTheLog(t *testing.T) {
	f := newFleet(t, 3, nil)
	from := dotterelpulley.Build{Model: "draft", Version: "1"}
	to := dotterelpulley.Build{Model: "draft", Version: "2"}
	id := recorder.MoveID{Note: "n", Service: testService}
	f.append(appender.StreamMoves, "b", 0, recorder.Claim{Holder: "h", Duration: time.Hour})
	f.append(appender.StreamMoves, "c", 0, recorder.Opening{
		Fence: 1, Move: id, Action: dotterelpulley.ChangeReplace, From: from, To: to,
		Deadline: time.Now().Add(time.Hour), CanaryShare: 0.5,
	})
	f.append(appender.StreamMoves, "d", 0, recorder.Step{Fence: 1, Move: id, Number: 1, Share: 0.5})
	for _, e := range f.entries {
		f.until("the version has its share", func() bool { return len(e.shares(testService)) == 2 })
	}
	f.Assert(f.log.Close(), qt.IsNil)
	judge := f.entries[0]
	for i := range 60 {
		g := grant{version: "draft@1", endpoint: endpointInfo{}}
		result := attemptResult(attemptCompleted{})
		if i%2 == 0 {
			g.version, result = "draft@2", attemptFailed{}
		}
		judge.logState.addSample(dotterelpulley.Request{Service: testService}, attemptOutcome{grant: g, result: result}, time.Now())
	}
	judgedAt := time.Now()
	for _, e := range f.entries {
		f.until("the version has no share", func() bool { return len(e.shares(testService)) == 1 })
	}
	f.Logf("stopped on every host after %s", time.Since(judgedAt))
}
