package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

var (
	keySizes     = []int{1000, 10000, 100000}
	runningSizes = []int{10, 100, 1000}
	peerSizes    = []int{8, 64, 350}
	claimsSizes  = []int{1, 20, 200}
)

// soloHost is a claimer that is the only host and holds every range, with a log that answers immediately.
type soloHost struct {
	claimer.Claimer
	now        time.Time
	roster     []claimer.StoredRosterRecord
	claims     int
	claimBytes int
	grants     int
}

func newSoloHost(b *testing.B) *soloHost {
	h := &soloHost{now: time.Unix(1<<30, 0)}
	h.Self = claimer.Member{Host: "entry-1", Incarnation: "entry-1-a", Peer: "127.0.0.1:7101"}
	h.step(b, claimer.RosterRead{SentAt: h.now, AtEnd: true})
	for range 1000 {
		if h.ReadyRanges(h.now) == claimer.RangeCount {
			return h
		}
		h.advance(b, 100*time.Millisecond)
	}
	b.Fatal("the host did not take all ranges")
	return nil
}

func (h *soloHost) advance(b *testing.B, d time.Duration) {
	h.now = h.now.Add(d)
	h.step(b, claimer.Tick{})
}

func (h *soloHost) step(b *testing.B, event claimer.Event) {
	for _, action := range h.Step(h.now, event) {
		switch a := action.(type) {
		case claimer.AppendRoster:
			h.roster = append(h.roster, claimer.StoredRosterRecord{
				ID: a.ID, Offset: claimer.Offset(len(h.roster) + 1), Appended: h.now, Record: a.Record,
			})
			h.step(b, claimer.AppendEnded{ID: a.ID, Acknowledged: true})
		case claimer.ReadRoster:
			from := min(int(a.From)-1, len(h.roster))
			h.step(b, claimer.RosterRead{SentAt: h.now, Records: h.roster[from:], AtEnd: true})
		case claimer.ReadClaims:
			h.step(b, claimer.ClaimsRead{SentAt: h.now, AtEnd: true})
		case claimer.AppendClaims:
			data, err := claimer.EncodeClaims(a.Record)
			if err != nil {
				b.Fatal(err)
			}
			h.claims += len(a.Record.Claimed)
			h.claimBytes += len(data)
			h.step(b, claimer.AppendEnded{ID: a.Record.ID, Acknowledged: true})
		case claimer.Grant:
			h.grants++
		case claimer.Enqueue, claimer.Ask, claimer.Attach, claimer.Forward, claimer.Refuse,
			claimer.HolderChanged, claimer.DiscardAnswer, claimer.Expelled, claimer.SignedOff:
		}
	}
}

func benchKey(i int) dotterelpulley.Key {
	return dotterelpulley.Key{
		Organisation: dotterelpulley.OrganisationID(fmt.Sprintf("organisation-%d", i%100)),
		Idempotency:  dotterelpulley.IdempotencyKey(fmt.Sprintf("key-%d", i)),
	}
}

// startRequest submits a request and waits until it is granted.
func (h *soloHost) startRequest(b *testing.B, i int) claimer.Ticket {
	ticket := claimer.Ticket(i + 1)
	before := h.grants
	h.step(b, claimer.Submit{Ticket: ticket, Key: benchKey(i), Kind: dotterelpulley.KindBooking, Arrived: h.now})
	h.step(b, claimer.Claim{Ticket: ticket})
	for h.grants == before {
		h.advance(b, 20*time.Millisecond)
	}
	if !h.MayStart(h.now, ticket) {
		b.Fatalf("request %d may not start", i)
	}
	return ticket
}

func (h *soloHost) endRequest(b *testing.B, ticket claimer.Ticket) {
	h.step(b, claimer.RequestEnded{Ticket: ticket, Outcome: claimer.OutcomeAnswered})
}

// BenchmarkClaimerLive submits, grants and ends one request while others run.
func BenchmarkClaimerLive(b *testing.B) {
	runSizes(b, "live", runningSizes, func(b *testing.B, n int) {
		h := newSoloHost(b)
		_, heap := measureHeap(func() *soloHost {
			for i := range n {
				h.startRequest(b, i)
			}
			return h
		})
		nextRequest := n
		b.ResetTimer()
		for b.Loop() {
			h.endRequest(b, h.startRequest(b, nextRequest))
			nextRequest++
		}
		b.ReportMetric(heap, "heap-B")
		b.ReportMetric(float64(h.claimBytes)/float64(h.claims), "log-B/claim")
		runtime.KeepAlive(h)
	})
}

// peerClaims returns the log records of another host's claims, a hundred claims each.
func peerClaims(h *soloHost, n int) []claimer.StoredClaimsRecord {
	const perRecord = 100
	var records []claimer.StoredClaimsRecord
	for i := 0; i < n; i += perRecord {
		r := claimer.StoredClaimsRecord{Offset: claimer.Offset(len(records) + 1), Appended: h.now}
		r.ID = claimer.RecordID(fmt.Sprintf("other-%d", i))
		r.Incarnation = "entry-2-a"
		r.Sequence = int64(len(records) + 1)
		for k := range min(perRecord, n-i) {
			r.Claimed = append(r.Claimed, claimer.HashKey(benchKey(1<<30+i+k)))
		}
		records = append(records, r)
	}
	return records
}

// BenchmarkClaimerKeys reads the claims of another host, which every host stores for the lifetime of the keys.
func BenchmarkClaimerKeys(b *testing.B) {
	runSizes(b, "keys", keySizes, func(b *testing.B, n int) {
		h := newSoloHost(b)
		records := peerClaims(h, n)
		_, heap := measureHeap(func() *soloHost {
			h.step(b, claimer.ClaimsRead{SentAt: h.now, Records: records, AtEnd: true})
			return h
		})
		b.ResetTimer()
		for b.Loop() {
			b.StopTimer()
			fresh := newSoloHost(b)
			b.StartTimer()
			fresh.step(b, claimer.ClaimsRead{SentAt: fresh.now, Records: records, AtEnd: true})
		}
		b.ReportMetric(heap, "heap-B")
		runtime.KeepAlive(h)
	})
}

// BenchmarkClaimsRecord encodes one claims record, as a host appends it.
func BenchmarkClaimsRecord(b *testing.B) {
	runSizes(b, "claims", claimsSizes, func(b *testing.B, n int) {
		record := claimer.ClaimsRecord{ID: "entry-1-a-1000", Incarnation: "entry-1-a", Sequence: 1000}
		for i := range n {
			record.Claimed = append(record.Claimed, claimer.HashKey(benchKey(i)))
		}
		size := 0
		for b.Loop() {
			data, err := claimer.EncodeClaims(record)
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "record-B")
	})
}

// BenchmarkClaimerRoster applies lease renewals to a roster that many hosts have joined.
func BenchmarkClaimerRoster(b *testing.B) {
	runSizes(b, "peers", peerSizes, func(b *testing.B, n int) {
		h := newSoloHost(b)
		offset := claimer.Offset(len(h.roster))
		store := func(record claimer.RosterRecord) claimer.RosterRead {
			offset++
			return claimer.RosterRead{SentAt: h.now, Records: []claimer.StoredRosterRecord{{
				ID: claimer.RecordID(fmt.Sprintf("r-%d", offset)), Offset: offset, Appended: h.now, Record: record,
			}}}
		}
		member := func(i int) claimer.Member {
			return claimer.Member{
				Host:        dotterelpulley.HostID(fmt.Sprintf("peer-%d", i)),
				Incarnation: dotterelpulley.Incarnation(fmt.Sprintf("peer-%d-a", i)),
				Peer:        dotterelpulley.Address(fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250)),
			}
		}
		_, heap := measureHeap(func() *soloHost {
			for i := range n {
				h.Step(h.now, store(claimer.Join{Member: member(i)}))
			}
			return h
		})
		renewal, err := claimer.EncodeRoster("entry-1-a-1000", claimer.Renew{Incarnation: member(0).Incarnation, Base: offset})
		if err != nil {
			b.Fatal(err)
		}
		nextMember := 0
		b.ResetTimer()
		for b.Loop() {
			nextMember++
			h.Step(h.now, store(claimer.Renew{Incarnation: member(nextMember % n).Incarnation, Base: offset}))
		}
		b.ReportMetric(heap, "heap-B")
		b.ReportMetric(float64(len(renewal)), "renewal-B")
		runtime.KeepAlive(h)
	})
}
