package emulator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// limitedSizes are the fleets for which limits and places are divided: hosts with about the endpoints and requests of the
// deployments.
var limitedSizes = []LimitedFleet{
	{Hosts: 8, Endpoints: 9, Slots: 11, RequestsPerSecond: 80},
	{Hosts: 86, Endpoints: 40, Slots: 11, RequestsPerSecond: 500},
	{Hosts: 295, Endpoints: 60, Slots: 11, RequestsPerSecond: 1700},
}

// smallFleet is the number of hosts up to which a fleet counts as small.
const smallFleet = 16

// limitedFleet completes the fleet of a size with what is common to all.
func limitedFleet(size LimitedFleet) LimitedFleet {
	size.Seed, size.Queue = 1, 4
	size.ProcessingTime, size.Objective, size.Duration = 250*time.Millisecond, 400*time.Millisecond, 24*time.Second
	return size
}

// runSizes runs the test for each size of fleet; large ones are left out of short runs.
func runSizes(t *testing.T, sizes []LimitedFleet, test func(c *qt.C, size LimitedFleet)) {
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d hosts", size.Hosts), func(t *testing.T) {
			if testing.Short() && size.Hosts > smallFleet {
				t.Skip("hundreds of hosts take long")
			}
			test(qt.New(t), size)
		})
	}
}

// hostFaults kills, freezes and cuts off hosts in series that overlap, a quarter of them in all.
func hostFaults(hosts int) []HostFault {
	var faults []HostFault
	for i := range max(hosts/4, 2) {
		kind := []FaultKind{Kill, Freeze, CutFromHosts}[i%3]
		at := 8*time.Second + time.Duration(i)*12*time.Second/time.Duration(max(hosts/4, 2))
		faults = append(faults, HostFault{Kind: kind, Host: i * 4 % hosts, Start: at, Duration: 2 * time.Second})
		if i%5 == 0 {
			faults = append(faults, HostFault{Kind: Kill, Host: (i*4 + 1) % hosts, Start: at + 500*time.Millisecond, Duration: time.Second})
		}
	}
	return faults
}

// Endpoints that name low limits got several times as many requests from the hosts together.
func TestHostsKeepLimitsTogether(t *testing.T) {
	runSizes(t, limitedSizes, func(c *qt.C, size LimitedFleet) {
		f := limitedFleet(size)
		f.Faults = hostFaults(f.Hosts)
		f.Limits = []LimitChange{
			{At: 4 * time.Second, Endpoint: 0, PerSecond: 1.3},
			{At: 4 * time.Second, Endpoint: 1, PerSecond: 2.6},
			{At: 5 * time.Second, Endpoint: 2, PerSecond: 6},
			{At: 5 * time.Second, Endpoint: 3, PerSecond: 0.3},
		}
		kept := f.Run()
		c.Logf("%.2f of the allowed requests, limits used to %.2f, %d of %d served", kept.WorstExcess, kept.LimitUse, kept.Served, kept.Requests)
		if size.Hosts <= smallFleet {
			f.Share = ShareNothing
			ignored := f.Run()
			c.Check(ignored.WorstExcess > 1, qt.IsTrue, qt.Commentf("the load doesn't exceed the limits by itself"))
		}
		c.Check(kept.WorstExcess <= 1, qt.IsTrue, qt.Commentf("%.2f", kept.WorstExcess))
	})
}

// A limit that is raised, lowered or lifted is followed.
func TestHostsFollowChangesOfLimits(t *testing.T) {
	runSizes(t, limitedSizes[:2], func(c *qt.C, size LimitedFleet) {
		f := limitedFleet(size)
		f.Limits = []LimitChange{
			{At: 4 * time.Second, Endpoint: 0, PerSecond: 8},
			{At: 10 * time.Second, Endpoint: 0, PerSecond: 1.3},
			{At: 16 * time.Second, Endpoint: 0, PerSecond: 20},
			{At: 4 * time.Second, Endpoint: 1, PerSecond: 1.3},
			{At: 10 * time.Second, Endpoint: 1, Lifted: true},
			{At: 16 * time.Second, Endpoint: 1, PerSecond: 2.6},
		}
		r := f.Run()
		c.Logf("%.2f of the allowed requests, %d of %d served", r.WorstExcess, r.Served, r.Requests)
		c.Check(r.WorstExcess <= 1, qt.IsTrue, qt.Commentf("%.2f", r.WorstExcess))
	})
}

// Equal shares and shares by reports are compared with shares of few hosts.
func TestFewHostsKeepALowLimit(t *testing.T) {
	runSizes(t, limitedSizes[:2], func(c *qt.C, size LimitedFleet) {
		for _, policy := range []SharePolicy{ShareAmongFew, ShareEqually, ShareByReports} {
			f := limitedFleet(size)
			f.Share = policy
			f.Limits = []LimitChange{{At: 4 * time.Second, Endpoint: 0, PerSecond: 1.3}, {At: 4 * time.Second, Endpoint: 1, PerSecond: 6}}
			r := f.Run()
			c.Logf("policy %d: %.2f of the allowed requests, limits used to %.2f", policy, r.WorstExcess, r.LimitUse)
			if policy == ShareAmongFew {
				c.Check(r.WorstExcess <= 1, qt.IsTrue, qt.Commentf("%.2f", r.WorstExcess))
			}
		}
	})
}

// Brittle endpoints failed by what the hosts together sent them beyond their places.
func TestBrittleEndpointsAreNotOverfilled(t *testing.T) {
	runSizes(t, limitedSizes, func(c *qt.C, size LimitedFleet) {
		f := limitedFleet(size)
		// A load that fills nearly all places, with a silence in the middle.
		f.RequestsPerSecond = float64(f.Endpoints*f.Slots) / f.ProcessingTime.Seconds() * 0.9
		f.Queue = 0
		f.Brittle = []BrittlePeriod{{Start: 4 * time.Second, Duration: 10 * time.Second, Tolerance: 3}}
		f.Duration = 14 * time.Second
		f.Faults = hostFaults(f.Hosts)
		for i := range f.Endpoints / 3 {
			f.Silences = append(f.Silences, EndpointSilence{Endpoint: i, Start: 9 * time.Second, Duration: time.Second})
		}
		divided := f.Run()
		c.Logf("%d falls, %d turned away, %d of %d served", divided.Falls, divided.TurnedAway, divided.Served, divided.Requests)
		allowed := 2 + f.Endpoints/10
		if size.Hosts <= smallFleet {
			f.Share = ShareNothing
			ignored := f.Run()
			c.Check(ignored.Falls > allowed, qt.IsTrue, qt.Commentf("the load overfills no endpoint by itself"))
		}
		c.Check(divided.Falls <= allowed, qt.IsTrue, qt.Commentf("%d falls, %d allowed", divided.Falls, allowed))
	})
}

// Hosts that are cut off from all endpoints served none of their requests. Limits and places hold while others serve them.
func TestCutOffHostsServeAsOftenAsOthers(t *testing.T) {
	runSizes(t, limitedSizes, func(c *qt.C, size LimitedFleet) {
		f := limitedFleet(size)
		f.Duration = 20 * time.Second
		f.Limits = []LimitChange{{At: 4 * time.Second, Endpoint: 0, PerSecond: 1.3}, {At: 4 * time.Second, Endpoint: 1, PerSecond: 6}}
		for i := range f.Hosts * 5 / 8 {
			f.Faults = append(f.Faults, HostFault{Kind: CutFromEndpoints, Host: i, Start: 6 * time.Second, Duration: 8 * time.Second})
		}
		// One of the hosts that help is killed meanwhile, another one is frozen.
		f.Faults = append(f.Faults,
			HostFault{Kind: Kill, Host: f.Hosts - 1, Start: 10 * time.Second, Duration: 2 * time.Second},
			HostFault{Kind: Freeze, Host: f.Hosts - 2, Start: 11 * time.Second, Duration: 2 * time.Second})
		r := f.Run()
		c.Logf("%d of %d served at hosts cut off, %d of %d at the others, %.2f of the allowed requests", r.CutOff.Served, r.CutOff.Requests, r.Connected.Served, r.Connected.Requests, r.WorstExcess)
		c.Check(r.CutOff.Requests > 50, qt.IsTrue)
		// The users' bound.
		c.Check(r.CutOff.Fraction() >= r.Connected.Fraction()*2/3, qt.IsTrue)
		c.Check(r.WorstExcess <= 1, qt.IsTrue, qt.Commentf("%.2f", r.WorstExcess))
	})
}
