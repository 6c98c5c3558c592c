package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

// heldDials holds the dials to one address until they are released.
type heldDials struct {
	mutex   sync.Mutex
	address dotterelpulley.Address
	// began is closed when the first dial to the address has begun, released when it ends; fails makes it fail then.
	began    chan struct{}
	released chan struct{}
	fails    bool
	dialed   bool
}

// dial opens a connection, after the release if it is to the address.
func (d *heldDials) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.mutex.Lock()
	held := address == string(d.address)
	if held && !d.dialed {
		d.dialed = true
		close(d.began)
	}
	d.mutex.Unlock()
	if held {
		select {
		case <-d.released:
			if d.fails {
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// hold makes the host's dials to the endpoint wait; a dial of its own ends after the time limit of tests only.
func (d *heldDials) hold(g *Gateway, e *standin.Endpoint) {
	d.address, d.began, d.released = e.Address(), make(chan struct{}), make(chan struct{})
	g.connector.DialTimeout = conditionTimeout
	g.connector.Dial = d.dial
}

// callerThatLeaves sends a request whose caller leaves when begun is closed, and waits until the host has noticed it.
func (s *site) callerThatLeaves(g *Gateway, path string, begun <-chan struct{}) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	ended := make(chan struct{})
	r := s.request(ctx, g, http.MethodPost, path, "book")
	go func() {
		defer close(ended)
		s.send(r)
	}()
	<-begun
	leave()
	<-ended
	s.waitFor("the host notices that the caller has left", func() bool { return g.metrics.counts.Get("callers-left") > 0 })
}

// waitForNoRequests waits until no host has a request in progress.
func (s *site) waitForNoRequests() {
	for _, g := range s.gateways {
		s.waitFor("the host has no request", func() bool { return g.inFlight.Load() == 0 })
	}
}

// callerPaths are routes of each kind.
var callerPaths = map[string]string{"call": "plain", "lookup": "plain", "plan": "model", "advice": "model"}

// GONE: a booking was sent to the next endpoint, or to the same one, after a dial that hung while its caller left.
func TestARequestIsSentAfterADialAlthoughItsCallerHasLeft(t *testing.T) {
	for route, service := range callerPaths {
		for _, fails := range []bool{false, true} {
			name := route + ", the dial succeeds"
			if fails {
				name = route + ", the dial fails"
			}
			t.Run(name, func(t *testing.T) {
				s := newSite(t)
				s.publishConfiguration(1, 1000)
				held := &heldDials{fails: fails}
				dark := s.endpoint("i-1", service, answerHello)
				s.onStart = func(g *Gateway) { held.hold(g, dark) }
				g := s.startReadyGateway()
				next := make(chan *standin.Endpoint, 1)
				begun := make(chan struct{})
				go func() {
					<-held.began
					// It shows up after the first choice, so that the dial is to the other one.
					next <- s.endpoint("i-2", service, answerHello)
					s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
					close(begun)
				}()
				s.callerThatLeaves(g, "/"+route+"/", begun)
				close(held.released)
				s.waitForNoRequests()
				s.Check(dark.Received(), qt.HasLen, 0)
				s.Check((<-next).Received(), qt.HasLen, 0)
				s.Check(slotsHeld(g), qt.Equals, 0)
			})
		}
	}
}

// GONE: a booking that an endpoint refused was sent to the next one, though its caller had left.
func TestARefusedRequestIsSentAgainAlthoughItsCallerHasLeft(t *testing.T) {
	for route, service := range callerPaths {
		t.Run(route, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			var requests atomic.Int64
			arrived, refuse := make(chan struct{}), make(chan struct{})
			either := func(w http.ResponseWriter, _ *http.Request, _ int) {
				if requests.Add(1) == 1 {
					close(arrived)
					<-refuse
				}
				standin.WriteNotExecuted(w)
			}
			s.endpoint("i-1", service, either)
			s.endpoint("i-2", service, either)
			g := s.startReadyGateway()
			s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
			s.callerThatLeaves(g, "/"+route+"/", arrived)
			close(refuse)
			s.waitForNoRequests()
			s.Check(requests.Load(), qt.Equals, int64(1))
		})
	}
}

// GONE: the host that a booking went through never learnt that its caller had left, and sent it after its dial or its wait.
func TestAHelperSendsARequestAlthoughItsCallerHasLeft(t *testing.T) {
	for route, service := range callerPaths {
		t.Run(route, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			held := &heldDials{}
			e := s.endpoint("i-1", service, answerHello)
			s.endpoint("i-0", "idle", answerHello)
			s.onStart = func(g *Gateway) {
				if len(s.gateways) == 1 {
					held.hold(g, e)
				}
			}
			hosts := startHosts(s, 2)
			for _, g := range hosts {
				s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 2 })
				s.waitForAllowance(g, 100)
			}
			s.cutOff(0, dotterelpulley.ServiceID(service))
			s.callerThatLeaves(hosts[0], "/"+route+"/", held.began)
			s.waitFor("the helper notices it too", func() bool { return hosts[1].metrics.counts.Get("callers-left") > 0 })
			close(held.released)
			s.waitForNoRequests()
			s.Check(e.Received(), qt.HasLen, 0)
		})
	}
}

// GONE: a request whose caller has left while it waits for a place isn't sent when one becomes free.
func TestAWaitingRequestIsSentAlthoughItsCallerHasLeft(t *testing.T) {
	for route, service := range callerPaths {
		t.Run(route, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			var requests atomic.Int64
			finish := make(chan struct{})
			s.endpoint("i-1", service, func(w http.ResponseWriter, r *http.Request, n int) {
				requests.Add(1)
				select {
				case <-finish:
					answerHello(w, r, n)
				case <-r.Context().Done():
				}
			})
			g := s.startReadyGateway()
			s.waitForAllowance(g, 20)
			const slots = 4
			answers := make(chan answer, slots)
			for range slots {
				r := s.request(context.Background(), g, http.MethodPost, "/"+route+"/", "book")
				go func() { answers <- s.send(r) }()
			}
			s.waitFor("the endpoint is full", func() bool { return requests.Load() == slots })
			waits := make(chan struct{})
			go func() {
				s.waitFor("the request waits", func() bool {
					g.queue.mutex.Lock()
					defer g.queue.mutex.Unlock()
					return g.queue.scheduler.Waiting(dotterelpulley.ServiceID(service)) == 1
				})
				close(waits)
			}()
			s.callerThatLeaves(g, "/"+route+"/", waits)
			close(finish)
			for range slots {
				<-answers
			}
			s.waitForNoRequests()
			s.Check(requests.Load(), qt.Equals, int64(slots))
		})
	}
}

// A booking that an endpoint has got runs to its end when its caller leaves, through another host as well.
func TestABookingThatWasSentOutlivesItsCaller(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		name := "at its own host"
		if cutOff {
			name = "through another host"
		}
		t.Run(name, func(t *testing.T) {
			arrived, finish, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
			handler := func(w http.ResponseWriter, r *http.Request, n int) {
				close(arrived)
				<-finish
				ended <- r.Context().Err()
				answerHello(w, r, n)
			}
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			s.endpoint("i-1", "plain", handler)
			s.endpoint("i-0", "idle", answerHello)
			hosts := startHosts(s, 2)
			for _, g := range hosts {
				s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 2 })
				s.waitForAllowance(g, 100)
			}
			last := hosts[0]
			if cutOff {
				s.cutOff(0, "plain")
				last = hosts[1]
			}
			s.callerThatLeaves(hosts[0], "/call/", arrived)
			if cutOff {
				s.waitFor("the helper notices it too", func() bool { return last.metrics.counts.Get("callers-left") > 0 })
			}
			close(finish)
			s.Assert(<-ended, qt.IsNil)
			s.waitForNoRequests()
			s.Assert(last.metrics.counts.Get("answered"), qt.Equals, int64(1))
		})
	}
}

// A caller who left wasn't counted if its request ended for that before the count.
func TestACallerWhoLeavesIsCountedOnce(t *testing.T) {
	c := qt.New(t)
	var m metrics
	const callers, others = 500, 200
	for range callers {
		ctx, leave := context.WithCancel(context.Background())
		for range others {
			// They make it likely that the request ends first.
			context.AfterFunc(ctx, func() {})
		}
		var left caller
		stop := left.watch(ctx, &m)
		ended := make(chan struct{})
		context.AfterFunc(ctx, func() {
			stop()
			close(ended)
		})
		leave()
		<-ended
	}
	c.Assert(prover.WaitUntil(context.Background(), prover.WaitOptions{Timeout: conditionTimeout, Interval: time.Millisecond}, "all are counted",
		func() bool { return m.counts.Get("callers-left") >= callers }), qt.IsNil)
	c.Assert(m.counts.Get("callers-left"), qt.Equals, int64(callers))
	var stays caller
	stays.watch(context.Background(), &m)()
	c.Assert(m.counts.Get("callers-left"), qt.Equals, int64(callers))
}
