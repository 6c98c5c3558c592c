package claimer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/claimer"
)

// world simulates several Claimers, a log and callers in virtual time.
type world struct {
	rand     *rand.Rand
	start    time.Time
	now      time.Time
	queue    eventQueue
	sequence int
	// naive lets the nodes run every copy of a request without asking their Claimer, for comparison.
	naive            bool
	profile          profile
	log              fakeLog
	nodes            []*node
	listed           map[dotterelpulley.HostID]bool
	partitionedUntil time.Time
	runs             map[dotterelpulley.Key]int
	falseNotRun      int
	callers          []*caller
	waits            [dotterelpulley.KindBooking + 1][]time.Duration
	// lastUnserved is when the last copy was sent that was answered with "holder unreachable".
	lastUnserved time.Time
	appends      int
	bytes        int
}

type profile struct {
	faults    bool
	slowLog   bool
	logOutage bool
	// hostCutFromLog disconnects one host from the log for longer than its lease.
	hostCutFromLog bool
	// hostFailure kills one host midway and removes it from the host list.
	hostFailure bool
	flaw        flaw
	callers     int
	length      time.Duration
}

// flaw disables one safeguard, to show that the schedules fail without it.
type flaw int

const (
	noFlaw flaw = iota
	leaseUnchecked
	takeoverAlwaysClean
	claimsUnread
	refusalsForgotten
)

type scheduledEvent struct {
	at       time.Time
	sequence int
	action   func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *world) after(d time.Duration, action func()) {
	w.sequence++
	heap.Push(&w.queue, scheduledEvent{at: w.now.Add(d), sequence: w.sequence, action: action})
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rand.Int64N(int64(high-low)))
}

func (w *world) chance(p float64) bool {
	return w.rand.Float64() < p
}

func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(scheduledEvent)
		if next.at.After(end) {
			break
		}
		w.now = next.at
		next.action()
	}
}

// fakeLog holds two streams; during an outage it neither appends nor answers.
type fakeLog struct {
	roster        []claimer.StoredRosterRecord
	claims        []claimer.StoredClaimsRecord
	outageWindows [][2]time.Time
	slowWindows   [][2]time.Time
}

func within(windows [][2]time.Time, at time.Time) bool {
	return slices.ContainsFunc(windows, func(w [2]time.Time) bool { return !at.Before(w[0]) && at.Before(w[1]) })
}

const (
	appendTimeout = 2 * time.Second
	slowAppend    = time.Second
)

func (w *world) append(n *node, id claimer.RecordID, commit func()) {
	w.appends++
	latency := w.between(time.Millisecond, 4*time.Millisecond)
	if within(w.log.slowWindows, w.now) {
		latency += slowAppend
	}
	if w.profile.faults && w.chance(0.02) {
		latency += w.between(0, 6*time.Second)
	}
	lost := w.profile.faults && w.chance(0.05)
	sent := w.now
	core := n.core
	w.after(latency, func() {
		if n.logUnavailable() {
			return
		}
		commit()
		if lost || w.now.Sub(sent) > appendTimeout {
			return
		}
		w.after(w.between(time.Millisecond, 4*time.Millisecond), func() {
			n.step(core, claimer.AppendEnded{ID: id, Acknowledged: true})
		})
	})
	w.after(appendTimeout, func() { n.step(core, claimer.AppendEnded{ID: id}) })
}

func (w *world) appendRoster(n *node, a claimer.AppendRoster) {
	if expire, ok := a.Record.(claimer.Expire); ok && w.profile.flaw == takeoverAlwaysClean {
		expire.Clean = true
		a.Record = expire
	}
	data, err := claimer.EncodeRoster(a.ID, a.Record)
	if err != nil {
		panic(err)
	}
	w.append(n, a.ID, func() {
		id, record, err := claimer.DecodeRoster(data)
		if err != nil {
			panic(err)
		}
		stored := claimer.StoredRosterRecord{ID: id, Offset: claimer.Offset(len(w.log.roster) + 1), Appended: w.now, Record: record}
		w.log.roster = append(w.log.roster, stored)
		w.notifyReaders(func(n *node) { n.readRoster(time.Time{}, n.core.NextRosterOffset()) })
	})
}

func (w *world) appendClaims(n *node, a claimer.AppendClaims) {
	data, err := claimer.EncodeClaims(a.Record)
	if err != nil {
		panic(err)
	}
	w.bytes += len(data)
	w.append(n, a.Record.ID, func() {
		record, err := claimer.DecodeClaims(data)
		if err != nil {
			panic(err)
		}
		stored := claimer.StoredClaimsRecord{ClaimsRecord: record, Offset: claimer.Offset(len(w.log.claims) + 1), Appended: w.now}
		w.log.claims = append(w.log.claims, stored)
		w.notifyReaders(func(n *node) { n.readClaims(time.Time{}, n.core.NextClaimsOffset()) })
	})
}

// notifyReaders simulates the long polls that every host keeps open.
func (w *world) notifyReaders(read func(*node)) {
	for _, n := range w.nodes {
		w.after(w.between(time.Millisecond, 5*time.Millisecond), func() {
			if n.alive {
				read(n)
			}
		})
	}
}

// newKey returns a key; half of the keys carry their creation time.
func (w *world) newKey(i int) dotterelpulley.Key {
	key := dotterelpulley.Key{Organisation: "org"}
	if w.chance(0.5) {
		key.Idempotency = dotterelpulley.IdempotencyKey(fmt.Sprintf("plain-%d-%d", i, w.rand.Uint64()))
		return key
	}
	created := uint64(w.now.Add(w.between(-time.Second, time.Second)).UnixMilli())
	random := w.rand.Uint64()
	key.Idempotency = dotterelpulley.IdempotencyKey(fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x",
		created>>16, created&0xffff, random&0xfff, random>>12&0xfff, random>>24&0xffffffffffff))
	return key
}
