package claimer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

func member(i int) claimer.Member {
	return claimer.Member{
		Host:        dotterelpulley.HostID(fmt.Sprintf("entry-%d", i)),
		Incarnation: dotterelpulley.Incarnation(fmt.Sprintf("entry-%d-8c1f3c1e-2f60-4b7a-9a55-%012d", i, i)),
		Peer:        "127.0.0.1:7201",
	}
}

func snapshot(members int) claimer.Snapshot {
	s := claimer.Snapshot{Base: 41}
	s.State.Epoch, s.State.LastRemoval = 40, 39
	s.State.Ended = []dotterelpulley.Incarnation{"gone"}
	for i := range members {
		s.State.Members = append(s.State.Members, claimer.RosterMember{
			Member: member(i), Joined: 1, Renewed: 2, RenewBase: 3, Unrecorded: true, Draining: true,
		})
	}
	for i := range s.State.Ranges {
		holder := member(i % members).Incarnation
		s.State.Ranges[i] = claimer.RangeState{
			Holder: holder, Target: holder, Previous: "before", Since: 4,
			UncertainBefore: time.Unix(5, 0).UTC(), UncertainUntil: time.Unix(6, 0).UTC(),
		}
	}
	return s
}

func TestRosterRecordsRoundTrip(t *testing.T) {
	c := qt.New(t)
	m := member(1)
	for name, record := range map[string]claimer.RosterRecord{
		"join":                  claimer.Join{Member: m},
		"renew":                 claimer.Renew{Incarnation: m.Incarnation, Base: 7, Unrecorded: true},
		"drain":                 claimer.Drain{Incarnation: m.Incarnation},
		"leave":                 claimer.Leave{Incarnation: m.Incarnation},
		"yield":                 claimer.Yield{Incarnation: m.Incarnation, Epoch: 8},
		"expire":                claimer.Expire{Incarnation: m.Incarnation, Base: 9, Proof: claimer.ProofUnlisted, Gone: time.Unix(3, 0).UTC(), Clean: true},
		"void":                  claimer.Void{},
		"snapshot of 8 hosts":   snapshot(8),
		"snapshot of 350 hosts": snapshot(350),
	} {
		data, err := claimer.EncodeRoster("id", record)
		c.Assert(err, qt.IsNil)
		id, decoded, err := claimer.DecodeRoster(data)
		c.Assert(err, qt.IsNil)
		c.Check(id, qt.Equals, claimer.RecordID("id"))
		c.Check(decoded, qt.DeepEquals, record)
		t.Logf("%s: %d bytes", name, len(data))
	}
	_, _, err := claimer.DecodeRoster([]byte(`{"id":"x","kind":"gold"}`))
	c.Check(err, qt.ErrorMatches, `roster record "x" of kind "gold": none of the known records`)
}

func TestClaimsRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, keys := range []int{1, 10, 40} {
		record := claimer.ClaimsRecord{ID: "entry-1-8c1f3c1e-2f60-4b7a-9a55-000000000001-99", Incarnation: member(1).Incarnation, Sequence: 99}
		for i := range keys {
			record.Claimed = append(record.Claimed, claimer.KeyHash(uint64(i)<<40|7))
		}
		record.Released = record.Claimed[:1]
		data, err := claimer.EncodeClaims(record)
		c.Assert(err, qt.IsNil)
		decoded, err := claimer.DecodeClaims(data)
		c.Assert(err, qt.IsNil)
		c.Check(decoded, qt.DeepEquals, record)
		t.Logf("%d keys: %d bytes", keys, len(data))
	}
}

func BenchmarkClaim(b *testing.B) {
	for _, hosts := range []int{8, 350} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { benchmarkClaim(b, hosts) })
	}
}

// benchmarkClaim takes requests with keys issued by the host from Submit to RequestEnded.
func benchmarkClaim(b *testing.B, hosts int) {
	now := time.Unix(1_800_000_000, 0)
	core := claimer.Claimer{Self: member(0)}
	var joins []claimer.StoredRosterRecord
	for i := range hosts {
		joins = append(joins, claimer.StoredRosterRecord{Offset: claimer.Offset(i + 1), Appended: now, Record: claimer.Join{Member: member(i)}})
	}
	for i := range hosts {
		joins = append(joins, claimer.StoredRosterRecord{
			Offset: claimer.Offset(hosts + i + 1), Appended: now,
			Record: claimer.Yield{Incarnation: member(i).Incarnation, Epoch: claimer.Offset(hosts)},
		})
	}
	core.Step(now, claimer.RosterRead{SentAt: now, Records: joins, AtEnd: true})
	core.Step(now, claimer.ClaimsRead{SentAt: now, AtEnd: true})
	ticket := claimer.Ticket(0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		ticket++
		key := dotterelpulley.Key{Organisation: "o", Idempotency: claimer.IssueKey(core.Self.Incarnation, [16]byte{byte(ticket), byte(ticket >> 8), byte(ticket >> 16)})}
		core.Step(now, claimer.Submit{Ticket: ticket, Key: key, Arrived: now, Issued: true})
		core.Step(now, claimer.Claim{Ticket: ticket})
		core.MayStart(now, ticket)
		core.Step(now, claimer.RequestEnded{Ticket: ticket})
	}
}
