package gateway

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

var (
	rigSeed     = flag.Uint64("rig-seed", 1, "first seed of the rig of faulty endpoints")
	rigSeeds    = flag.Int("rig-seeds", 2, "number of seeds")
	rigBookings = flag.Int("rig-bookings", 800, "bookings of a seed")
)

const (
	rigHosts     = 3
	rigEndpoints = 5
	rigCallers   = 16
	// rigTimeout is a caller's time limit, rigRetries how often it books again after a promise.
	rigTimeout = 1500 * time.Millisecond
	rigRetries = 2
	// rigChange is the time between two changes of links, endpoints or hosts.
	rigChange = 300 * time.Millisecond
)

// rigCaller books on a kept connection, and books again after an answer that promises that nothing ran.
type rigCaller struct {
	*site
	// sameID means that a booking which is sent again has the same id.
	sameID bool
	ledger *runLedger
	hosts  *rigHostList
	random *rand.Rand
	name   string
	client http.Client
}

// rigHostList are the hosts that callers may ask; hosts come and go.
type rigHostList struct {
	mutex sync.Mutex
	hosts []*Gateway
}

func (l *rigHostList) pick(r *rand.Rand) *Gateway {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.hosts[r.IntN(len(l.hosts))]
}

// book sends the booking until an answer promises nothing; each third one is a stream that can't be resumed.
func (c *rigCaller) book(number int) {
	route := "/call/"
	if number%3 == 0 {
		route = "/plan/"
	}
	booking := fmt.Sprintf("%s%s-%d", route, c.name, number)
	for try := range rigRetries + 1 {
		attempt := fmt.Sprintf("%s-%d-%d", c.name, number, try)
		if c.sameID {
			attempt = fmt.Sprintf("%s-%d", c.name, number)
		}
		status := c.send(attempt, booking)
		runs := c.ledger.runs(attempt)
		c.Check(runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times, status %d", attempt, runs, status))
		promised := platform.PromisesNotRun(status)
		c.Check(promised && runs > 0, qt.IsFalse, qt.Commentf("%s ran and was answered %d", attempt, status))
		if !promised {
			return
		}
	}
}

// send sends one attempt and returns the status of its answer; zero if there is none.
func (c *rigCaller) send(attempt, booking string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*rigTimeout)
	defer cancel()
	body := strings.Repeat("b", []int{0, 30, 3 << 10, 60 << 10}[c.random.IntN(4)])
	reader := io.Reader(strings.NewReader(body))
	if c.random.IntN(2) == 0 {
		reader = bodyReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(c.hosts.pick(c.random).settings.CallerAddress)+booking, reader)
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Host = "h.example"
	r.Header.Set("Api-Key", "k1")
	r.Header.Set("Dotterelpulley-Attempt-Id", attempt)
	r.Header.Set("Dotterelpulley-Deadline-Ms", fmt.Sprint(rigTimeout.Milliseconds()))
	response, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Callers were told that bookings had not run which had, and bookings ran at a second endpoint: endpoints that answer as the
// protocol allows and as it doesn't, stop and come back at their address, beside hosts that lose their links, end and start.
func TestBookingsRanTwiceOrAfterAPromise(t *testing.T) {
	for seed := *rigSeed; seed < *rigSeed+uint64(*rigSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playRig(t, seed, false) })
	}
}

// Callers that booked again with the same id met copies of the refusals before, on hosts that send a refused booking nowhere else.
func TestBookingsSentAgainWithOneIDRanTwiceOrAfterAPromise(t *testing.T) {
	for seed := *rigSeed; seed < *rigSeed+uint64(*rigSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playRig(t, seed, true) })
	}
}

func playRig(t *testing.T, seed uint64, sameID bool) {
	s := newSite(t)
	configuration := bytes.ReplaceAll(fmt.Appendf(nil, siteConfiguration, 1, 1_000_000, 1_000_000), []byte(`"max_body_bytes":1000`), []byte(`"max_body_bytes":100000`))
	s.store.Put(platform.OperatorsTopic, platform.ConfigurationKey, configuration)
	endpoints := startFaultyEndpoints(s, seed, rigEndpoints)
	ledger := endpoints[0].runLedger
	hosts := &rigHostList{hosts: append([]*Gateway(nil), startHosts(s, rigHosts)...)}
	for _, g := range hosts.hosts {
		s.waitFor("the host knows all endpoints", func() bool { return len(registrations(g)) == 2*rigEndpoints })
		s.waitForAllowance(g, 1000)
		if sameID {
			limitRetries(g, 0, 0)
		}
	}

	ctx, stopChanges := context.WithCancel(t.Context())
	var changes, callers conc.WaitGroup
	changes.Go(func() { changeRig(ctx, s, hosts, endpoints, seed) })
	var booked atomic.Int64
	for i := range rigCallers {
		c := &rigCaller{
			site: s, sameID: sameID, ledger: ledger, hosts: hosts, name: fmt.Sprintf("s%d-c%d", seed, i), random: rand.New(rand.NewPCG(seed, uint64(100+i))),
			client: http.Client{Transport: &http.Transport{DisableCompression: true}},
		}
		callers.Go(func() {
			defer c.client.CloseIdleConnections()
			for n := booked.Add(1); n <= int64(*rigBookings); n = booked.Add(1) {
				c.book(int(n))
			}
		})
	}
	callers.Wait()
	stopChanges()
	changes.Wait()
	total := 0
	for booking, runs := range ledger.bookings {
		total += runs
		s.Check(runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", booking, runs))
	}
	s.Logf("%d of %d bookings ran", len(ledger.bookings), *rigBookings)
	s.Check(total > *rigBookings/10, qt.IsTrue)
}

// changeRig cuts and mends the links of the first host, stops and starts endpoints at their addresses, and replaces the last host.
func changeRig(ctx context.Context, s *site, hosts *rigHostList, endpoints []*faultyEndpoint, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 99))
	sequence := 1
	for {
		repeater.Sleep(ctx, rigChange)
		if ctx.Err() != nil {
			s.links[0].cut(linksUp, false)
			return
		}
		sequence++
		switch random.IntN(5) {
		case 0, 1:
			s.links[0].cut([]linkState{linksUp, linksRefuse, linksHang}[random.IntN(3)], random.IntN(2) == 0)
		case 2, 3:
			e := endpoints[random.IntN(len(endpoints))]
			e.stop()
			e.start(s.C)
		case 4:
			replaceLastHost(s, hosts, random.IntN(2) == 0)
		}
		for _, e := range endpoints {
			e.register(s, sequence)
		}
	}
}

// replaceLastHost ends the last host, at once or after a drain, and starts another.
func replaceLastHost(s *site, hosts *rigHostList, drain bool) {
	old := s.gateways[rigHosts-1]
	hosts.mutex.Lock()
	hosts.hosts = hosts.hosts[:rigHosts-1]
	hosts.mutex.Unlock()
	if drain {
		old.Drain(context.Background())
	}
	s.stopGateway(old)
	added := s.startGateway()
	hosts.mutex.Lock()
	hosts.hosts = append(hosts.hosts, added)
	hosts.mutex.Unlock()
}
