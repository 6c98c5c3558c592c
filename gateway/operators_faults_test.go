package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

// An endless event must not grow in memory until the process is killed.
func TestAnEventWithoutEndIsRefusedAtTheLimit(t *testing.T) {
	c := qt.New(t)
	for _, line := range []string{":\n", "data: x\n", "x"} {
		endless := strings.NewReader(strings.Repeat(line, 4*maxEventBytes/len(line)))
		_, err := newEventReader(buffer{budget: new(bufferBudget)}, endless).next()
		c.Check(err, qt.Equals, errEventTooLarge, qt.Commentf("%q", line))
	}
}

// A stalled endpoint that drips comments is left like a silent one, and its stream goes on elsewhere.
func TestAStreamThatOnlyDripsCommentsIsResumed(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	var runs atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request, _ int) {
		if runs.Add(1) > 1 {
			standin.WriteEvents(w, 3, 4)
			return
		}
		standin.WriteEvents(w, 1, 2)
		ticker := time.NewTicker(50 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-r.Context().Done():
				return
			case <-ticker.C:
			}
			if _, err := io.WriteString(w, ": wait\n\n"); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
	}
	s.endpoint("i-1", "model", handler)
	s.endpoint("i-2", "model", handler)
	g := s.startReadyGateway()
	a := s.post(g, "/advice/", "prompt")
	s.Assert(a.err, qt.IsNil)
	pieces := strings.ReplaceAll(a.body, ": wait\n\n", "")
	s.Assert(pieces, qt.Equals, "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\nid: 3\ndata: piece-3\n\nid: 4\ndata: piece-4\n\n")
}

// A slow stream whose events come is sound, however slow, on a route that can't move it.
func TestASlowStreamIsNotCut(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	gap := maxSilence + 100*time.Millisecond
	s.endpoint("i-1", "model", func(w http.ResponseWriter, _ *http.Request, _ int) {
		standin.WriteEvents(w, 1, 1)
		<-time.After(gap)
		standin.WriteEvents(w, 2, 2)
	})
	g := s.startReadyGateway()
	a := s.post(g, "/plan/", "prompt")
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.body, qt.Equals, "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\n")
}

// A late second copy of an answer that bears no id could be anyone's: it must not become the next caller's answer.
func TestASecondCopyWithoutAnIDIsNobodysAnswer(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.Assert(err, qt.IsNil)
	defer listener.Close()
	go answerTwice(listener)
	s.store.Put(platform.EndpointsTopic, "i-1", fmt.Appendf(nil,
		`{"service":"plain","address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1}`, listener.Addr()))
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	for n := range 10 {
		request := fmt.Sprintf("request-%d", n)
		a := s.post(g, "/call/"+request, "")
		if a.status == http.StatusOK {
			s.Assert(a.body, qt.Equals, "/call/"+request)
		}
	}
}

// answerTwice serves connections on which each request gets the late copy of the answer before it, without an id, and then
// its own.
func answerTwice(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			late := ""
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				answer := func(id, body string) string {
					return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sDotterelpulley-Response-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
				}
				own := answer("Dotterelpulley-Attempt-Id: "+r.Header.Get("Dotterelpulley-Attempt-Id")+"\r\n", r.RequestURI)
				if _, err := io.WriteString(conn, late+own); err != nil {
					return
				}
				late = answer("", r.RequestURI)
			}
		}()
	}
}

// A request that arrives while the drain ends is answered, not cut off.
func TestARequestThatArrivesAsTheDrainEndsIsAnswered(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	started, release := make(chan struct{}), make(chan struct{})
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		close(started)
		<-release
		answerHello(w, r, n)
	})
	g := s.startReadyGateway()
	got := make(chan answer, 1)
	r := s.request(context.Background(), g, http.MethodPost, "/call/", "book")
	go func() { got <- s.send(r) }()
	<-started
	finished := make(chan struct{})
	go func() {
		g.finishCallers(context.Background())
		close(finished)
	}()
	close(release)
	s.Assert((<-got).status, qt.Equals, http.StatusOK)
	<-finished
	s.Assert(s.post(g, "/call/", "book").err, qt.IsNotNil)
}

// A long request that arrives while the drain ends has the rest of the grace, not only the time of a short one.
func TestALongRequestThatArrivesAsTheDrainEndsIsNotCut(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	started := make(chan struct{})
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		close(started)
		<-time.After(2 * finishTime)
		answerHello(w, r, n)
	})
	g := s.startReadyGateway()
	got := make(chan answer, 1)
	r := s.request(context.Background(), g, http.MethodPost, "/call/", "book")
	go func() { got <- s.send(r) }()
	<-started
	g.finishCallers(context.Background())
	s.Assert(g.inFlight.Load(), qt.Equals, int64(0), qt.Commentf("the process would end now"))
	a := <-got
	s.Assert(a.err, qt.IsNil)
	s.Assert(a.status, qt.Equals, http.StatusOK)
}

// A request that the end of the grace cuts short gets an answer, not the end of its connection.
func TestARequestAtTheEndOfTheGraceIsAnswered(t *testing.T) {
	for _, path := range []string{"/call/", "/lookup/"} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			started := make(chan struct{})
			s.endpoint("i-1", "plain", func(_ http.ResponseWriter, r *http.Request, _ int) {
				close(started)
				<-r.Context().Done()
			})
			g := s.startReadyGateway()
			bounds := *g.bounds.Load()
			bounds.ShutdownGrace = 500 * time.Millisecond
			g.bounds.Store(&bounds)
			got := make(chan answer, 1)
			r := s.request(context.Background(), g, http.MethodPost, path, "book")
			go func() { got <- s.send(r) }()
			<-started
			g.Drain(context.Background())
			s.Assert(g.inFlight.Load(), qt.Equals, int64(0), qt.Commentf("the process would end now"))
			a := <-got
			s.Assert(a.err, qt.IsNil)
			s.Assert(a.status, qt.Equals, http.StatusBadGateway)
		})
	}
}

// A panic in one of the loops neither ends the process nor the loop.
func TestALoopRunsOnAfterAPanic(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	var runs atomic.Int64
	g.supervise("test", func() {
		if runs.Add(1) < 3 {
			panic("unexpected")
		}
	})
	s.waitFor("the loop has run without a panic", func() bool { return runs.Load() == 3 })
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
}

// Whatever records operators and endpoints leave in the store, the host goes on with those that can be read.
func TestMalformedRecordsDisturbNothing(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	records := []string{"", "null", "[]", "{", `{"version":"x"}`, `{"version":9,"routes":[{}]}`, `{"seq":1}`, "\x00\xff"}
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for _, field := range []string{`"more":` + nested, `"seq":1e400`, `"seq":1e300`, `"slots":1e10`, `"slots":1000000000`, `"cold_left_ms":1e300`, `"born":1e30`, `"address":"10.0.0.1:65536"`, `"address":"0.0.0.0:0"`} {
		records = append(records, `{"service":"plain","address":"127.0.0.1:9","zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1,`+field+`}`)
	}
	records = append(records, nested, `{"version":1e400}`, `{"version":9,"limits":`+nested+`}`, `{"service":"plain","target":"v9","duration_s":1e300}`, `{"zone":"a","peer":"127.0.0.1:99999","callers":"x"}`)
	for i, record := range records {
		s.store.Put(platform.OperatorsTopic, platform.ConfigurationKey, []byte(record))
		s.store.Put(platform.OperatorsTopic, "rollout/plain", []byte(record))
		s.store.Put(platform.StatusTopic, "rollout/plain", []byte(record))
		s.store.Put(platform.EndpointsTopic, "odd", []byte(record))
		s.store.Put(platform.EndpointsTopic, fmt.Sprintf("odd-%d", i), []byte(record))
		s.store.Put(platform.HostsTopic, "odd", []byte(record))
		s.store.Put(platform.HostsTopic, fmt.Sprintf("odd-%d", i), []byte(record))
	}
	second := s.startReadyGateway()
	s.publishConfiguration(10, 1000)
	s.waitFor("the newest configuration is in force", func() bool { return g.configurationVersion() == 10 })
	s.waitForAllowance(g, 1)
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
	s.endpoint("i-2", "plain", answerHello)
	for _, host := range []*Gateway{g, second} {
		s.waitFor("the other endpoints are followed", func() bool { return len(registrations(host)) == 2 })
		s.Assert(registrations(host)[0].ID, qt.Equals, dotterelpulley.EndpointID("i-1"))
		s.Assert(host.metrics.counts.Get("panics"), qt.Equals, int64(0))
		s.Assert(host.peers.possibleHosts(time.Now()), qt.Equals, 2)
	}
}
