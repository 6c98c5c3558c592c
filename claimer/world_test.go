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
	rand    *rand.Rand
	start   time.Time
	now     time.Time
	queue   timeline
	order   int
	naive   bool
	profile profile
	log     fakeLog
	nodes   []*node
	listed  map[dotterelpulley.HostID]bool
	cutOff  time.Time
	runs    map[dotterelpulley.Key]int
	falseNo int
	callers []*caller
	waits   [dotterelpulley.KindBooking + 1][]time.Duration
	// unserved is when the last copy was sent that was answered with "holder unreachable".
	unserved time.Time
	appends  int
	bytes    int
}

type profile struct {
	faults bool
	slow   bool
	out    bool
	// cut disconnects one host from the log for longer than its lease.
	cut bool
	// death kills one host midway and removes it from the host list.
	death   bool
	flaw    flaw
	callers int
	length  time.Duration
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

type timed struct {
	at    time.Time
	order int
	do    func()
}

type timeline []timed

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].order < t[j].order
	}
	return t[i].at.Before(t[j].at)
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(timed)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, timed{at: w.now.Add(d), order: w.order, do: do})
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
		next := heap.Pop(&w.queue).(timed)
		if next.at.After(end) {
			break
		}
		w.now = next.at
		next.do()
	}
}

// fakeLog holds two streams; during an outage it neither appends nor answers.
type fakeLog struct {
	roster []claimer.StoredRosterRecord
	claims []claimer.StoredClaimsRecord
	outage [][2]time.Time
	slow   [][2]time.Time
}

func within(windows [][2]time.Time, at time.Time) bool {
	return slices.ContainsFunc(windows, func(w [2]time.Time) bool { return !at.Before(w[0]) && at.Before(w[1]) })
}

const (
	appendTimeout = 2 * time.Second
	slowAppend    = time.Second
)

func (w *world) append(n *node, id claimer.RecordID, place func()) {
	w.appends++
	latency := w.between(time.Millisecond, 4*time.Millisecond)
	if within(w.log.slow, w.now) {
		latency += slowAppend
	}
	if w.profile.faults && w.chance(0.02) {
		latency += w.between(0, 6*time.Second)
	}
	lost := w.profile.faults && w.chance(0.05)
	sent := w.now
	core := n.core
	w.after(latency, func() {
		if n.logOut() {
			return
		}
		place()
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
		placed := claimer.StoredRosterRecord{ID: id, Offset: claimer.Offset(len(w.log.roster) + 1), Appended: w.now, Record: record}
		w.log.roster = append(w.log.roster, placed)
		w.push(func(n *node) { n.readRoster(time.Time{}, n.core.NextRosterOffset()) })
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
		placed := claimer.StoredClaimsRecord{ClaimsRecord: record, Offset: claimer.Offset(len(w.log.claims) + 1), Appended: w.now}
		w.log.claims = append(w.log.claims, placed)
		w.push(func(n *node) { n.readClaims(time.Time{}, n.core.NextClaimsOffset()) })
	})
}

// push simulates the long polls that every host keeps open.
func (w *world) push(read func(*node)) {
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
	born := uint64(w.now.Add(w.between(-time.Second, time.Second)).UnixMilli())
	random := w.rand.Uint64()
	key.Idempotency = dotterelpulley.IdempotencyKey(fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x",
		born>>16, born&0xffff, random&0xfff, random>>12&0xfff, random>>24&0xffffffffffff))
	return key
}
