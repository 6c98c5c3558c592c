package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// linkState is the state of a host's links to all endpoints.
type linkState int

const (
	linksUp linkState = iota
	// linksRefuse refuse new connections, linksHang lose what is sent.
	linksRefuse
	linksHang
)

// endpointLinks are the links of one host to all endpoints.
type endpointLinks struct {
	mutex sync.Mutex
	state linkState
	conns []net.Conn
}

// cut changes the state of the links; open connections go on unless they are reset.
func (l *endpointLinks) cut(state linkState, reset bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state = state
	if !reset {
		return
	}
	for _, c := range l.conns {
		_ = c.(*linkConn).SetLinger(0)
		_ = c.Close()
	}
	l.conns = nil
}

func (l *endpointLinks) current() linkState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state
}

func (l *endpointLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.current() {
	case linksRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case linksHang:
		<-ctx.Done()
		return nil, ctx.Err()
	case linksUp:
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{TCPConn: conn.(*net.TCPConn), links: l}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// linkConn loses what is sent while its links hang.
type linkConn struct {
	*net.TCPConn
	links *endpointLinks
}

// Write sends the bytes, or loses them.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.links.current() == linksHang {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// cuts are the ways in which a host loses its links to all endpoints.
var cuts = []struct {
	name  string
	state linkState
	reset bool
}{
	{"reset and refused", linksRefuse, true},
	{"open connections live on, new ones refused", linksRefuse, false},
	{"reset and hanging", linksHang, true},
	{"all hang", linksHang, false},
}

// callerPatience is how long a caller waits whose host may not serve it yet.
const callerPatience = 300 * time.Millisecond

// cutSite returns three hosts before two plain endpoints and two engines.
func cutSite(t *testing.T) *site {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	for _, id := range []string{"i-1", "i-2"} {
		s.endpoint(id, "plain", answerHello)
	}
	for _, id := range []string{"i-3", "i-4"} {
		s.endpoint(id, "model", func(w http.ResponseWriter, _ *http.Request, _ int) { standin.WriteEvents(w, 1, 5) })
	}
	for _, g := range startHosts(s, 3) {
		s.waitFor("the host knows all endpoints", func() bool { return len(registrations(g)) == 4 })
		s.waitForAllowance(g, 100)
	}
	return s
}

// Hosts that had lost their links to all endpoints refused their callers, though other hosts reached the endpoints.
func TestCallersOfAHostCutOffFromAllEndpointsAreServed(t *testing.T) {
	for _, cut := range cuts {
		t.Run(cut.name, func(t *testing.T) {
			s := cutSite(t)
			g := s.gateways[0]
			for range 4 {
				s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
				s.Assert(s.get(g, "/advice/").status, qt.Equals, http.StatusOK)
			}
			s.links[0].cut(cut.state, cut.reset)
			serves := func(path string) bool {
				ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
				defer cancel()
				return s.send(s.request(ctx, g, http.MethodGet, path, "")).status == http.StatusOK
			}
			for _, path := range []string{"/lookup/", "/advice/"} {
				s.waitFor("the host serves again", func() bool { return serves(path) })
			}
			for range 10 {
				s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
				s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusOK)
				a := s.get(g, "/advice/")
				s.Assert(a.status, qt.Equals, http.StatusOK)
				s.Assert(a.body, qt.Contains, "piece-5")
				s.Assert(g.ready(time.Now()), qt.IsTrue)
			}
		})
	}
}

// What a host that was cut off reported as dead was blocked on all other hosts.
func TestAHostThatIsCutOffBlocksNoEndpointOfOthers(t *testing.T) {
	s := cutSite(t)
	s.links[0].cut(linksRefuse, true)
	for range 10 {
		for _, path := range []string{"/lookup/", "/advice/"} {
			ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
			s.send(s.request(ctx, s.gateways[0], http.MethodGet, path, ""))
			cancel()
		}
		for _, g := range s.gateways[1:] {
			g.queue.access(func(now time.Time, sched *scheduler.Scheduler) {
				for _, v := range sched.Views(now) {
					s.Assert(v.BlockedFor, qt.Equals, time.Duration(0), qt.Commentf("endpoint %s", v.ID))
				}
			})
		}
	}
}

// Requests on connections that were reset counted as having crashed their endpoints, and were refused on all hosts.
func TestRequestsOfAHostThatIsCutOffAreNotIsolated(t *testing.T) {
	s := cutSite(t)
	started := make(chan struct{}, 10)
	for _, id := range []string{"i-5", "i-6", "i-7", "i-8"} {
		s.endpoint(id, "plain", func(_ http.ResponseWriter, r *http.Request, _ int) {
			started <- struct{}{}
			<-r.Context().Done()
		})
	}
	for _, id := range []string{"i-1", "i-2"} {
		s.store.Put("keyed.servers", id, nil)
	}
	for _, g := range s.gateways {
		s.waitFor("only endpoints that don't answer are left", func() bool { return len(registrations(g)) == 6 })
	}
	const crashesUntilIsolated = 3
	for range crashesUntilIsolated {
		s.links[0].cut(linksUp, false)
		s.waitFor("the host reaches the endpoints", func() bool { return !s.gateways[0].paths.lost("plain") })
		got := make(chan answer, 1)
		r := s.request(context.Background(), s.gateways[0], http.MethodPost, "/call/", "book")
		go func() { got <- s.send(r) }()
		select {
		case <-started:
		case a := <-got:
			s.Fatalf("ended with %d before it was cut", a.status)
		}
		s.links[0].cut(linksRefuse, true)
		<-got
	}
	s.endpoint("i-9", "plain", answerHello)
	for _, id := range []string{"i-5", "i-6", "i-7", "i-8"} {
		s.store.Put("keyed.servers", id, nil)
	}
	s.waitFor("only the endpoint that answers is left", func() bool { return len(registrations(s.gateways[1])) == 3 })
	s.Assert(s.post(s.gateways[1], "/call/", "book").status, qt.Equals, http.StatusOK)
}
