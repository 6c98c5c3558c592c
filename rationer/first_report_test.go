package rationer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// startingFleet plays an organisation that asks for ten times its cap, spread evenly over hosts which start one after the other or
// together, and report to all others once an interval, staggered.
type startingFleet struct {
	hosts    int
	interval time.Duration
	// spread is the time between the starts of two hosts; restarts are when all hosts start again.
	spread   time.Duration
	restarts []time.Duration
	// alone is when the first host alone starts again; zero for never.
	alone time.Duration
	// loweredAt is when the cap falls to loweredTo of its rate and burst; zero for never.
	loweredAt time.Duration
	loweredTo Amount
	// earlier is the fraction of the hosts that don't tell since when they count.
	earlier float64
	// cut is when the first cutHosts of the hosts and the others stop hearing of each other, for cutFor; zero for never.
	cut      time.Duration
	cutFor   time.Duration
	cutHosts int
	// end is when the first endHosts of the hosts end without a word, so that the others get all requests; zero for never.
	end      time.Duration
	endHosts int
	// used is how many of the hosts get requests; all if zero.
	used int
	span time.Duration
	load Amount
}

// startingCap is the cap of the organisation.
var startingCap = Cap{Rate: 1000, Burst: 500}

const (
	startingStep = 25 * time.Millisecond
	// startingRequest is the amount of one request.
	startingRequest = Amount(4)
)

// silenceTimeoutOf returns the time without a report after which hosts of a fleet count as silent.
func silenceTimeoutOf(hosts int) time.Duration {
	const base, fullMesh = 900 * time.Millisecond, 16
	return base * time.Duration(max(hosts, fullMesh)) / fullMesh
}

// play returns what was admitted in each step.
func (f startingFleet) play() []Amount {
	random := rand.New(rand.NewPCG(1, uint64(f.hosts)))
	hosts := make([]Rationer, f.hosts)
	startedAt := make([]time.Duration, f.hosts)
	incarnations := make([]uint64, f.hosts)
	capNow := startingCap
	startHost := func(i int, at time.Duration) {
		hosts[i] = Rationer{HostCount: f.hosts, SilenceTimeout: silenceTimeoutOf(f.hosts)}
		hosts[i].SetCap(start.Add(at), organisation, capNow)
		startedAt[i] = at
	}
	startAll := func(at time.Duration) {
		for i := range hosts {
			incarnations[i]++
			startedAt[i] = at + time.Duration(i)*f.spread
		}
	}
	startAll(0)
	up := make([]bool, f.hosts)
	admitted := make([]Amount, int(f.span/startingStep))
	pending := Amount(0)
	interval := max(int(f.interval/startingStep), 1)
	for step := range admitted {
		at := time.Duration(step) * startingStep
		now := start.Add(at)
		for _, restart := range f.restarts {
			if at == restart {
				startAll(at)
				clear(up)
			}
		}
		if f.alone > 0 && at == f.alone {
			startedAt[0], up[0] = at, false
			incarnations[0]++
		}
		first := 0
		if f.end > 0 && at >= f.end {
			first = f.endHosts
			clear(up[:first])
		}
		if f.loweredAt > 0 && at == f.loweredAt {
			capNow = Cap{Rate: capNow.Rate * f.loweredTo, Burst: capNow.Burst * f.loweredTo}
			for i := range hosts {
				if up[i] {
					hosts[i].SetCap(now, organisation, capNow)
				}
			}
		}
		for i := range hosts {
			if !up[i] && at >= startedAt[i] && i >= first {
				startHost(i, at)
				up[i] = true
			}
		}
		for pending += f.load * startingCap.Rate * Amount(startingStep.Seconds()); pending >= startingRequest; pending -= startingRequest {
			i := first + random.IntN(cmp.Or(f.used, f.hosts)-first)
			if !up[i] {
				continue
			}
			if _, ok := hosts[i].Admit(now, organisation, startingRequest, 0); ok {
				admitted[step] += startingRequest
			}
		}
		for i := range hosts {
			if !up[i] || (step+i)%interval != 0 {
				continue
			}
			report := hosts[i].Report(now)
			if float64(i) < f.earlier*float64(f.hosts) {
				report = Report{Usage: report.Usage}
			}
			for j := range hosts {
				if i != j && up[j] && !f.apart(at, i, j) {
					hosts[j].RecordPeerUsage(now, dotterelpulley.HostID(fmt.Sprint(i)), incarnations[i], report)
				}
			}
		}
	}
	return admitted
}

// apart reports whether two hosts hear nothing of each other.
func (f startingFleet) apart(at time.Duration, i, j int) bool {
	return f.cut > 0 && at >= f.cut && at < f.cut+f.cutFor && (i < f.cutHosts) != (j < f.cutHosts)
}

// busiestWindow returns the largest part of the limit that was admitted in a window that begins at or after the time.
func busiestWindow(admitted []Amount, limit Cap, from time.Duration) Amount {
	length := int(defaultWindow / startingStep)
	highest := Amount(0)
	for first := int(from / startingStep); first+length <= len(admitted); first++ {
		sum := Amount(0)
		for _, amount := range admitted[first : first+length] {
			sum += amount
		}
		highest = max(highest, sum)
	}
	return highest / (limit.Rate*Amount(defaultWindow.Seconds()) + limit.Burst)
}

// The tolerance that the users' bounds allow for hosts that count separately.
const startingOverrun = 0.1

// startingGrid calls the function with sizes of fleets and times between the reports of a host that don't count as silence.
func startingGrid(play func(hosts int, interval time.Duration)) {
	for _, hosts := range []int{8, 59, 86, 295} {
		for _, interval := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2750 * time.Millisecond} {
			if interval < silenceTimeoutOf(hosts) && (hosts <= 86 || !testing.Short()) {
				play(hosts, interval)
			}
		}
	}
}

// Hosts that all started at once admitted up to three times the cap in their first window: what a host had used before its first
// report was charged by nobody.
func TestHostsThatStartTogetherExceedTheCap(t *testing.T) {
	c := qt.New(t)
	startingGrid(func(hosts int, interval time.Duration) {
		admitted := startingFleet{hosts: hosts, interval: interval, span: defaultWindow, load: 10}.play()
		got := busiestWindow(admitted, startingCap, 0)
		c.Logf("%d hosts, a report every %s: %.2f of the cap", hosts, interval, float64(got))
		c.Check(got <= 1+startingOverrun, qt.IsTrue, qt.Commentf("%d hosts, a report every %s: %.2f of the cap", hosts, interval, float64(got)))
		// What is within the cap isn't refused for long.
		c.Check(got >= 0.75, qt.IsTrue, qt.Commentf("%d hosts, a report every %s: %.2f of the cap", hosts, interval, float64(got)))
	})
}

// The same where hosts start one after the other, twice within a window, beside a cap that falls, or beside earlier builds, which
// don't tell since when they count.
func TestHostsThatStartOneByOneOrTwiceExceedTheCap(t *testing.T) {
	c := qt.New(t)
	lowered := Cap{Rate: startingCap.Rate / 2, Burst: startingCap.Burst / 2}
	for _, size := range []startingFleet{{hosts: 8, interval: 200 * time.Millisecond}, {hosts: 59, interval: 275 * time.Millisecond}, {hosts: 86, interval: 400 * time.Millisecond}} {
		size.load, size.span = 10, 2*defaultWindow
		for name, test := range map[string]struct {
			change func(*startingFleet)
			limit  Cap
			from   time.Duration
		}{
			"one by one": {func(f *startingFleet) { f.spread = 3 * time.Second / time.Duration(f.hosts) }, startingCap, 0},
			"rolling": {func(f *startingFleet) {
				f.restarts, f.spread = []time.Duration{4 * time.Second}, 2*time.Second/time.Duration(f.hosts)
			}, startingCap, 0},
			"twice":                            {func(f *startingFleet) { f.restarts = []time.Duration{3 * time.Second, 5500 * time.Millisecond} }, startingCap, 0},
			"a cap that fell":                  {func(f *startingFleet) { f.loweredAt, f.loweredTo = 3*time.Second, 0.5 }, lowered, 3 * time.Second},
			"half of them of an earlier build": {func(f *startingFleet) { f.earlier = 0.5 }, startingCap, 0},
			"all of an earlier build":          {func(f *startingFleet) { f.earlier = 1 }, startingCap, 0},
		} {
			f := size
			test.change(&f)
			got := busiestWindow(f.play(), test.limit, test.from)
			c.Logf("%d hosts, %s: %.2f of the cap", f.hosts, name, float64(got))
			c.Check(got <= 1+startingOverrun, qt.IsTrue, qt.Commentf("%d hosts, %s: %.2f of the cap", f.hosts, name, float64(got)))
		}
	}
}

// Room that a surge left in the window was found by all hosts at the same moment, and each used it before it heard of the others.
func TestHostsThatFindRoomAtTheSameMomentExceedTheCap(t *testing.T) {
	c := qt.New(t)
	for _, hosts := range []int{8, 59, 86} {
		for _, used := range []int{0, 1, 3} {
			admitted := startingFleet{hosts: hosts, interval: 500 * time.Millisecond, span: 3 * defaultWindow, load: 10, used: used}.play()
			comment := qt.Commentf("%d hosts, %d of them used", hosts, used)
			c.Check(busiestWindow(admitted, startingCap, 0) <= 1+startingOverrun, qt.IsTrue, comment)
			last := busiestWindow(admitted, startingCap, 2*defaultWindow)
			c.Logf("%d hosts, %d of them used: %.2f of the cap, %.2f at last", hosts, used, float64(busiestWindow(admitted, startingCap, 0)), float64(last))
			c.Check(last >= 0.9, qt.IsTrue, comment)
		}
	}
}

// A host that starts beside others which have run for long must not charge what they have used since their start, nor leave out what they
// use until it hears of it.
func TestAHostThatStartsAloneKeepsTheCap(t *testing.T) {
	c := qt.New(t)
	for _, size := range []startingFleet{{hosts: 8, interval: 100 * time.Millisecond}, {hosts: 59, interval: 275 * time.Millisecond}} {
		size.alone, size.span = 20*time.Second, 36*time.Second
		size.load = 10
		beyond := busiestWindow(size.play(), startingCap, 16*time.Second)
		c.Check(beyond <= 1+startingOverrun, qt.IsTrue, qt.Commentf("%d hosts: %.2f of the cap", size.hosts, float64(beyond)))
		size.load = 0.8
		admitted := size.play()
		sum := Amount(0)
		for _, amount := range admitted[int(size.alone/startingStep):] {
			sum += amount
		}
		asked := size.load * startingCap.Rate * Amount((size.span - size.alone).Seconds())
		c.Logf("%d hosts: %.2f of the cap at ten times, %.3f of 0.8 of it admitted", size.hosts, float64(beyond), float64(sum/asked))
		c.Check(sum >= 0.97*asked, qt.IsTrue, qt.Commentf("%d hosts: %.3f admitted", size.hosts, float64(sum/asked)))
	}
}

// A host that had just started told others that it knew all usage since its start, while hosts that it hadn't heard used the cap.
func TestAHostThatMissesReportsTellsNoHistory(t *testing.T) {
	c := qt.New(t)
	r := Rationer{HostCount: 3}
	r.SetCap(start, organisation, startingCap)
	now := start.Add(2 * time.Second)
	r.RecordPeerUsage(now, "b", 1, Report{Counted: time.Second})
	c.Assert(r.History(now).Known, qt.Equals, time.Duration(0))
	r.RecordPeerUsage(now, "c", 1, Report{Counted: time.Second})
	c.Assert(r.History(now).Known, qt.Equals, 2*time.Second)
	c.Assert((&Rationer{HostCount: 3}).History(now).Known, qt.Equals, time.Duration(0))
}

// What a host used while it was out of reach for so long that it counted as gone was charged by nobody when it returned.
func TestAHostThatReturnsIsChargedFromItsLastReport(t *testing.T) {
	c := qt.New(t)
	var r Rationer
	r.SetCap(start, organisation, startingCap)
	now := start.Add(time.Minute)
	r.RecordPeerUsage(now, "b", 1, Report{Counted: time.Minute, Usage: map[dotterelpulley.OrganisationID]Amount{organisation: 100}})
	now = now.Add(forgetAfter + time.Second)
	_, ok := r.Admit(now, organisation, 1, 0)
	c.Assert(ok, qt.IsTrue)
	before, _ := r.Remaining(now, organisation)
	r.RecordPeerUsage(now, "b", 1, Report{Counted: time.Minute + forgetAfter, Usage: map[dotterelpulley.OrganisationID]Amount{organisation: 2600}})
	after, _ := r.Remaining(now, organisation)
	c.Assert(before-after >= 2000, qt.IsTrue, qt.Commentf("%.0f before, %.0f after", float64(before), float64(after)))
}

// Hosts that were cut into two groups exceeded the cap, as did hosts whose reports were late: what others had used since their last
// reports was dated too early, and its sum was estimated too low while all found room at the same moment.
func TestHostsThatAreCutApartExceedTheCap(t *testing.T) {
	// A host that is cut off for longer serves no request with a key.
	const cutFor = 5 * time.Second
	startingGrid(func(hosts int, interval time.Duration) {
		for _, cutAt := range []time.Duration{500 * time.Millisecond, 3800 * time.Millisecond, 12 * time.Second} {
			if few := testing.Short() || hosts > 86; few && (cutAt != 3800*time.Millisecond || interval != 500*time.Millisecond) {
				continue
			}
			t.Run(fmt.Sprintf("%d-hosts-every-%s-at-%s", hosts, interval, cutAt), func(t *testing.T) {
				c := qt.New(t)
				f := startingFleet{hosts: hosts, interval: interval, span: 32 * time.Second, load: 10, cut: cutAt, cutFor: cutFor, cutHosts: hosts * 3 / 7}
				admitted := f.play()
				got, after := busiestWindow(admitted, startingCap, 0), busiestWindow(admitted, startingCap, 24*time.Second)
				c.Logf("%.2f of the cap, %.2f at last", float64(got), float64(after))
				c.Check(got <= 1+startingOverrun, qt.IsTrue, qt.Commentf("%.2f of the cap", float64(got)))
				c.Check(after >= 0.75, qt.IsTrue, qt.Commentf("%.2f of the cap at last", float64(after)))
			})
		}
	})
}

// Peers whose reports come seldom counted as ended while the hosts were cut apart and until their next reports came: each group then
// used the whole cap.
func TestPeersWithLateReportsCountAsEndedDuringACut(t *testing.T) {
	for _, f := range []startingFleet{
		{hosts: 40, interval: 2 * time.Second, cut: 5 * time.Second},
		{hosts: 59, interval: 3200 * time.Millisecond, cut: 5 * time.Second},
	} {
		if testing.Short() && f.hosts > 40 {
			continue
		}
		t.Run(fmt.Sprintf("%d-hosts-every-%s-at-%s", f.hosts, f.interval, f.cut), func(t *testing.T) {
			c := qt.New(t)
			f.span, f.load, f.cutFor, f.cutHosts = 32*time.Second, 10, 5*time.Second, f.hosts*3/7
			admitted := f.play()
			got, after := busiestWindow(admitted, startingCap, 0), busiestWindow(admitted, startingCap, 24*time.Second)
			c.Logf("%.2f of the cap, %.2f at last", float64(got), float64(after))
			c.Check(got <= 1+startingOverrun, qt.IsTrue, qt.Commentf("%.2f of the cap", float64(got)))
			c.Check(after >= 0.75, qt.IsTrue, qt.Commentf("%.2f of the cap at last", float64(after)))
		})
	}
}

// Guards against charging hosts that have ended for long, where reports come as often as they do in such a fleet.
func TestHostsThatEndLeaveTheirPartToOthers(t *testing.T) {
	c := qt.New(t)
	const from, until = 12 * time.Second, 28 * time.Second
	for _, f := range []startingFleet{{hosts: 8, interval: 100 * time.Millisecond}, {hosts: 59, interval: 375 * time.Millisecond}} {
		if testing.Short() && f.hosts > 8 {
			continue
		}
		f.span, f.load, f.end = until, 0.8, from
		for endHosts, least := range map[int]Amount{1: 0.99, f.hosts * 3 / 7: 0.9} {
			f.endHosts = endHosts
			sum := Amount(0)
			for _, amount := range f.play()[int(from/startingStep):] {
				sum += amount
			}
			served := sum / (f.load * startingCap.Rate * Amount((until - from).Seconds()))
			c.Logf("%d hosts of which %d end: %.3f admitted", f.hosts, endHosts, float64(served))
			c.Check(served >= least, qt.IsTrue, qt.Commentf("%d hosts of which %d end: %.3f admitted", f.hosts, endHosts, float64(served)))
		}
	}
}

// The time without a report after which a peer counts as ended follows its reports, or those of others if it has sent only one.
func TestAPeerCountsAsEndedByHowLateItsReportsAre(t *testing.T) {
	c := qt.New(t)
	const every = 2 * time.Second
	r := Rationer{SilenceTimeout: 2500 * time.Millisecond}
	now := start.Add(time.Minute)
	report := func(id dotterelpulley.HostID) { r.RecordPeerUsage(now, id, 1, Report{Counted: time.Minute}) }
	report("once")
	c.Check(r.forgottenAfter(r.peers["once"]), qt.Equals, forgetAfter)
	for range 3 {
		report("regular")
		now = now.Add(every)
	}
	report("regular")
	c.Check(r.forgottenAfter(r.peers["regular"]), qt.Equals, forgetAfter+2*every)
	c.Check(r.forgottenAfter(r.peers["once"]), qt.Equals, forgetAfter+2*every)
	now = now.Add(time.Millisecond)
	report("regular")
	c.Check(r.forgottenAfter(r.peers["regular"]), qt.Equals, forgetAfter+every, qt.Commentf("one report was held up until the next"))
	now = now.Add(time.Minute)
	report("regular")
	c.Check(r.forgottenAfter(r.peers["regular"]), qt.Equals, forgetAfter+2*r.SilenceTimeout, qt.Commentf("a silence tells nothing beyond the timeout"))
}
