package isolator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley/isolator"
)

const deadlyPart = isolator.Part(1 << 40)

// partLoad is a load of prompts with shared parts, on endpoints of which one part crashes each.
type partLoad struct {
	hosts, endpoints, slots int
	// perSecond requests arrive a second; one in deadlyEvery has the deadly part, from deadlyFrom on.
	perSecond   float64
	deadlyEvery float64
	deadlyFrom  time.Duration
	// firsts and seconds are the numbers of the first and second parts that prompts share.
	firsts, seconds int
	// strikes are the times at which endpoints crash by themselves, and how many of them together.
	strikes map[time.Duration]int
	seed    uint64
}

type fleetEvent struct {
	at time.Time
	do func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int           { return len(q) }
func (q fleetQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q fleetQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)        { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type fleetRun struct {
	id     isolator.AttemptID
	host   int
	parts  []isolator.Part
	repeat bool
	deadly bool
	ended  bool
}

type fleetEndpoint struct {
	start    int
	downTill time.Time
	runs     []*fleetRun
}

// partFleet plays a load in virtual time.
type partFleet struct {
	partLoad
	now       time.Time
	random    *rand.Rand
	queue     fleetQueue
	guards    []isolator.PartGuard
	servers   []fleetEndpoint
	attempts  int
	digests   []uint64
	sentFacts []int

	// crashedAt are the times of the crashes by the deadly part.
	crashedAt []time.Time
	// deadlySends are the times at which requests with the deadly part were sent to endpoints.
	deadlySends []time.Time
	// refused and sent count the sound requests, by first part.
	refused, sent map[isolator.Part]int
	isolatedAt    map[int]time.Time
	// answered holds the first parts that have been answered, refusedLater counts the sound requests refused after that.
	answered     map[isolator.Part]bool
	refusedLater map[isolator.Part]int
}

var fleetStart = time.Unix(1_800_000_000, 0)

func playPartLoad(load partLoad, length time.Duration) *partFleet {
	f := &partFleet{
		partLoad: load, now: fleetStart, random: rand.New(rand.NewPCG(load.seed, 7)),
		guards: make([]isolator.PartGuard, load.hosts), servers: make([]fleetEndpoint, load.endpoints),
		digests: make([]uint64, load.hosts), sentFacts: make([]int, load.hosts),
		refused: map[isolator.Part]int{}, sent: map[isolator.Part]int{}, isolatedAt: map[int]time.Time{}, answered: map[isolator.Part]bool{}, refusedLater: map[isolator.Part]int{},
	}
	f.after(0, f.arrive)
	for host := range f.guards {
		f.after(f.upTo(150*time.Millisecond), func() { f.tell(host) })
	}
	for at, count := range load.strikes {
		f.after(at, func() {
			for range count {
				f.crash(f.random.IntN(len(f.servers)))
			}
		})
	}
	for len(f.queue) > 0 && f.queue[0].at.Sub(fleetStart) < length {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.do()
	}
	return f
}

func (f *partFleet) after(d time.Duration, do func()) {
	heap.Push(&f.queue, fleetEvent{f.now.Add(d), do})
}

func (f *partFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

func (f *partFleet) arrive() {
	f.after(time.Duration(f.random.ExpFloat64()/f.perSecond*float64(time.Second)), f.arrive)
	// Parts are drawn with the square of a uniform number, so that some are popular and many rare.
	pick := func(count int) isolator.Part {
		u := f.random.Float64()
		return isolator.Part(u * u * float64(count))
	}
	r := &fleetRun{host: f.random.IntN(len(f.guards)), parts: []isolator.Part{1000 + pick(f.firsts), 1_000_000 + pick(f.seconds)}}
	if f.now.Sub(fleetStart) >= f.deadlyFrom && f.random.Float64() < f.deadlyEvery {
		r.deadly = true
		r.parts[1] = deadlyPart
	}
	f.send(r)
}

func never(isolator.Part) bool { return false }

func (f *partFleet) mayTry(host int) func(isolator.Part) bool {
	return func(p isolator.Part) bool { return int(p%isolator.Part(len(f.guards))) == host }
}

// send sends the request to the endpoint with the fewest runs.
func (f *partFleet) send(r *fleetRun) {
	best := -1
	for i := range f.servers {
		s := &f.servers[i]
		if f.now.Before(s.downTill) || len(s.runs) >= f.slots {
			continue
		}
		if best < 0 || len(s.runs) < len(f.servers[best].runs) {
			best = i
		}
	}
	if best < 0 {
		return
	}
	f.attempts++
	r.id = isolator.AttemptOf(fmt.Sprint(f.attempts))
	if _, refused := f.guards[r.host].Begin(f.now, r.parts, startOf(best), r.id, f.mayTry(r.host)); refused {
		if !r.deadly {
			f.refused[r.parts[0]]++
			if f.answered[r.parts[0]] {
				f.refusedLater[r.parts[0]]++
			}
		}
		return
	}
	s := &f.servers[best]
	s.runs = append(s.runs, r)
	if r.deadly {
		f.deadlySends = append(f.deadlySends, f.now)
	} else {
		f.sent[r.parts[0]]++
	}
	f.after(100*time.Millisecond+f.upTo(600*time.Millisecond), func() {
		switch {
		case r.ended:
		case r.deadly:
			f.crashedAt = append(f.crashedAt, f.now)
			f.crash(best)
		default:
			f.answered[r.parts[0]] = true
			f.note(r.host, f.guards[r.host].Answered(f.now, startOf(best), r.id))
			f.after(300*time.Millisecond+f.upTo(4*time.Second), func() { f.end(best, r) })
		}
	})
}

func startOf(i int) isolator.Start {
	return isolator.Start(fmt.Sprint("e", i))
}

func (f *partFleet) end(endpoint int, r *fleetRun) {
	if r.ended {
		return
	}
	r.ended = true
	s := &f.servers[endpoint]
	for i, one := range s.runs {
		if one == r {
			s.runs = append(s.runs[:i], s.runs[i+1:]...)
			break
		}
	}
	f.guards[r.host].Ended(startOf(endpoint), r.id)
}

// crash ends the endpoint and everything on it, and restarts it after some seconds.
func (f *partFleet) crash(endpoint int) {
	s := &f.servers[endpoint]
	if f.now.Before(s.downTill) {
		return
	}
	incident := isolator.Incident(endpoint*1000 + s.start)
	s.start++
	s.downTill = f.now.Add(3*time.Second + f.upTo(2*time.Second))
	runs := s.runs
	s.runs = nil
	for _, r := range runs {
		f.after(f.upTo(3*time.Millisecond), func() {
			if r.ended {
				return
			}
			r.ended = true
			g := &f.guards[r.host]
			f.note(r.host, g.EndpointCrashed(f.now, startOf(endpoint), incident))
			if !r.repeat && g.MayRepeat(f.now, r.parts) {
				f.send(&fleetRun{host: r.host, parts: r.parts, deadly: r.deadly, repeat: true})
			}
		})
	}
}

// note makes a host tell others at once of what it has seen itself.
func (f *partFleet) note(host int, changes []isolator.PartChange) {
	for _, c := range changes {
		if _, ok := f.isolatedAt[host]; !ok && c.Part == deadlyPart && c.To == isolator.IsolatedPart {
			f.isolatedAt[host] = f.now
		}
	}
	if len(changes) > 0 {
		f.sendDigest(host)
	}
}

func (f *partFleet) tell(host int) {
	interval := 75 * time.Millisecond
	if len(f.guards) > 128 {
		interval = 150 * time.Millisecond
	}
	f.after(interval, func() { f.tell(host) })
	f.sendDigest(host)
}

func (f *partFleet) sendDigest(host int) {
	f.digests[host]++
	facts := f.guards[host].Facts(f.now, f.digests[host])
	targets := f.random.Perm(len(f.guards))[:min(len(f.guards), 17)]
	for _, to := range targets {
		if to == host {
			continue
		}
		f.sentFacts[host] += len(facts)
		f.after(time.Millisecond+f.upTo(3*time.Millisecond), func() {
			for _, c := range f.guards[to].Receive(f.now, facts) {
				if _, ok := f.isolatedAt[to]; !ok && c.Part == deadlyPart && c.To == isolator.IsolatedPart {
					f.isolatedAt[to] = f.now
				}
			}
		})
	}
}

// stabilityWindow is the time after the fifth crash from which on three requests may reach endpoints.
const stabilityWindow = 3 * time.Second

// lateSends returns how many requests with the deadly part were sent too late.
func (f *partFleet) lateSends() int {
	late := 0
	for _, at := range f.deadlySends {
		if len(f.crashedAt) >= 5 && at.Sub(f.crashedAt[4]) > stabilityWindow {
			late++
		}
	}
	return late
}
