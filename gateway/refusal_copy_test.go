package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// copyingEndpoint refuses each request once, with the status at the end of its path, and runs it when it comes again; on the connection
// of the refusal, it writes the refusal once more before it does. Its zero value is ready to use.
type copyingEndpoint struct {
	mutex sync.Mutex
	// refused are the ids that the endpoint has refused, refusedOn those of each connection.
	refused   map[string]bool
	refusedOn map[net.Conn]map[string]bool
	runs      map[string]int
}

func (e *copyingEndpoint) answer(conn net.Conn, r *http.Request) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.runs == nil {
		e.refused, e.refusedOn, e.runs = map[string]bool{}, map[net.Conn]map[string]bool{}, map[string]int{}
	}
	id := r.Header.Get("Dotterelpulley-Attempt-Id")
	text := fmt.Sprintf("HTTP/1.1 %s Refused\r\nDotterelpulley-Not-Executed: 1\r\nDotterelpulley-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", path.Base(r.URL.Path), id)
	switch {
	case !e.refused[id]:
		e.refused[id] = true
		if e.refusedOn[conn] == nil {
			e.refusedOn[conn] = map[string]bool{}
		}
		e.refusedOn[conn][id] = true
	case e.refusedOn[conn][id]:
		e.runs[id]++
		text += wholeAnswer(r, id)
	default:
		e.runs[id]++
		text = wholeAnswer(r, id)
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// wholeAnswer returns the success of a call or a stream.
func wholeAnswer(r *http.Request, id string) string {
	head := strings.Replace(signedHead, "ID", id, 1)
	if strings.HasPrefix(r.URL.Path, "/plan/") {
		body := events(&http.Request{}, 3)
		return fmt.Sprintf("%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	body := "run of " + id
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func (e *copyingEndpoint) runsOf(id string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[id]
}

// requestAs returns a request with the id, which no host keeps from endpoints because of earlier refusals.
func (s *site) requestAs(id string, g *Gateway, path string) *http.Request {
	for _, g := range s.gateways {
		g.queue.updateAndDecide(func(_ time.Time, s *scheduler.Scheduler) {
			s.Unblock("plain")
			s.Unblock("model")
		})
	}
	r := s.request(context.Background(), g, http.MethodPost, path, "book")
	r.Header.Set("Dotterelpulley-Attempt-Id", id)
	return r
}

// copyingSite starts hosts, which send a refused request to no other endpoint, before one endpoint of each service.
func copyingSite(t *testing.T, hosts int, e *copyingEndpoint) *site {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.scriptedEndpoint("i-plain", "plain", e.answer)
	s.scriptedEndpoint("i-model", "model", e.answer)
	for _, g := range startHosts(s, hosts) {
		s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 2 })
		s.waitForAllowance(g, 100)
		limitRetries(g, 0, 0)
	}
	return s
}

// An endpoint wrote the copy of a refusal while the request with its id was under way again on the same connection. The caller was told
// that the request had not run, and a second endpoint could run it.
func TestTheCopyOfARefusalIsTakenForTheAnswer(t *testing.T) {
	for _, way := range []struct {
		name string
		// The first cutOff of the hosts send through the others; the request goes to the host first, and again to the host second.
		hosts, cutOff, first, second int
	}{
		{name: "own endpoint", hosts: 1},
		{name: "helper", hosts: 2, cutOff: 1},
		{name: "two hosts with one helper", hosts: 3, cutOff: 2, second: 1},
		{name: "helper, then the helper's own caller", hosts: 2, cutOff: 1, second: 1},
		{name: "own caller, then a host that it helps", hosts: 2, cutOff: 1, first: 1},
	} {
		t.Run(way.name, func(t *testing.T) {
			var e copyingEndpoint
			s := copyingSite(t, way.hosts, &e)
			for host := range way.cutOff {
				s.cutOff(host, "plain", "model")
			}
			for _, route := range []string{"/call/", "/plan/"} {
				for _, status := range []int{http.StatusBadRequest, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
					route := route + strconv.Itoa(status)
					id := strings.ReplaceAll(route, "/", "-")
					first := s.send(s.requestAs(id, s.gateways[way.first], route))
					s.Check(first.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf(route))
					s.Check(e.runsOf(id), qt.Equals, 0, qt.Commentf(route))
					second := s.send(s.requestAs(id, s.gateways[way.second], route))
					s.Check(second.status, qt.Equals, http.StatusOK, qt.Commentf(route))
					s.Check(e.runsOf(id), qt.Equals, 1, qt.Commentf(route))
				}
			}
			if way.hosts == 1 {
				s.Check(s.gateways[0].metrics.counts.Get("connections-passed-over"), qt.Equals, int64(10))
			}
		})
	}
}

// Guards against an answer that follows the copy of a refusal and stays on the connection, where the next request could meet it.
func TestTheAnswerAfterTheCopyOfARefusalMeetsNobody(t *testing.T) {
	var e copyingEndpoint
	s := copyingSite(t, 1, &e)
	for round := range 20 {
		ids := []string{fmt.Sprintf("a-%d", round), fmt.Sprintf("b-%d", round)}
		for send, id := range append(ids, ids...) {
			got := s.send(s.requestAs(id, s.gateways[0], "/call/503"))
			if send < len(ids) {
				s.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf(id))
				continue
			}
			s.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf(id))
			s.Check(got.body, qt.Equals, "run of "+id)
		}
	}
}

// Two requests with one id that were under way at once met each other's refusals on a connection that both had used.
func TestRequestsWithOneIDMeetEachOthersRefusals(t *testing.T) {
	var e copyingEndpoint
	s := copyingSite(t, 1, &e)
	for round := range 20 {
		id := fmt.Sprintf("a-%d", round)
		var mutex sync.Mutex
		statuses := map[int]int{}
		for range 2 {
			var senders conc.WaitGroup
			for range 2 {
				r := s.requestAs(id, s.gateways[0], "/call/503")
				senders.Go(func() {
					got := s.send(r)
					mutex.Lock()
					defer mutex.Unlock()
					statuses[got.status]++
				})
			}
			senders.Wait()
		}
		s.Check(statuses[http.StatusOK], qt.Equals, e.runsOf(id), qt.Commentf("%s: %v", id, statuses))
	}
}

// An endpoint came back under a new id while the old one was still listed. It refused the request under the old id, got it again under the
// new one on the same connection, and wrote the refusal once more.
func TestTheCopyOfAMisdirectionComesFromASuccessorAtTheSameAddress(t *testing.T) {
	var e copyingEndpoint
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.scriptedEndpoint("i-1", "plain", e.answer)
	g := s.startReadyGateway()
	s.waitFor("the host knows the endpoint", func() bool { return len(registrations(g)) == 1 })
	s.store.Put(platform.EndpointsTopic, "i-2", fmt.Appendf(nil,
		`{"service":"plain","address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1}`, registrations(g)[0].Address))
	s.waitFor("the host knows both endpoints", func() bool { return len(registrations(g)) == 2 })
	s.waitForAllowance(g, 100)
	for n := range 5 {
		id := fmt.Sprintf("a-%d", n)
		got := s.send(s.requestAs(id, g, "/call/421"))
		s.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf(id))
		s.Check(e.runsOf(id), qt.Equals, 1, qt.Commentf(id))
	}
}

// A host took the promise of an earlier build for proven, which may have believed the copy of a refusal.
func TestTheProofOfAnEarlierBuildRestsOnACopy(t *testing.T) {
	c := qt.New(t)
	kind := dotterelpulley.ErrorNoEndpoint
	told := func(proof string) http.Header { return http.Header{headerProof: {proof}} }
	for _, refusal := range []refusedByEndpoint{{status: http.StatusServiceUnavailable, named: true}, {status: http.StatusTooManyRequests}} {
		own := proofName(refusal)
		earlier := strings.Replace(own, "send-", "endpoint-", 1)
		c.Check(hostProof(kind, told(own), true), qt.Equals, proof(refusedByHost{theirs: own}))
		c.Check(hostProof(kind, told(earlier), true), qt.IsNil, qt.Commentf(earlier))
	}
	// Builds before the header tell a kind alone.
	c.Check(hostProof(kind, http.Header{}, true), qt.IsNil)
	c.Check(hostProof(kind, http.Header{}, false), qt.IsNotNil)
}

// An endpoint answered twice, the second time with a refusal that names no request. The caller was told that its request had not run.
func TestAnUnnamedRefusalAfterAnAnswerIsNobodysRefusal(t *testing.T) {
	for name, first := range map[string]string{
		"an answer without an id":          "HTTP/1.1 200 OK\r\nDotterelpulley-Response-Stamp: s\r\nContent-Length: 0\r\n\r\n",
		"an answer that names another one": "HTTP/1.1 200 OK\r\nDotterelpulley-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			s.scriptedEndpoint("i-1", "plain", func(conn net.Conn, _ *http.Request) bool {
				_, err := io.WriteString(conn, first+"HTTP/1.1 503 Refused\r\nDotterelpulley-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			})
			g := s.startReadyGateway()
			s.waitFor("the host knows the endpoint", func() bool { return len(registrations(g)) == 1 })
			s.waitForAllowance(g, 20)
			limitRetries(g, 0, 0)
			r := s.request(context.Background(), g, http.MethodPost, "/call/", "book")
			r.Header.Set("Dotterelpulley-Deadline-Ms", "500")
			s.Check(platform.PromisesNotRun(s.send(r).status), qt.IsFalse)
		})
	}
}

// A host took the copy of a refusal for the answer and sent the request to a second endpoint, while the first one ran it.
func TestASecondEndpointRunsWhatTheCopyOfARefusalDenied(t *testing.T) {
	var one, two copyingEndpoint
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.scriptedEndpoint("i-1", "plain", one.answer)
	s.scriptedEndpoint("i-2", "plain", two.answer)
	g := s.startReadyGateway()
	s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 2 })
	s.waitForAllowance(g, 100)
	for n := range 5 {
		id := fmt.Sprintf("a-%d", n)
		status := http.StatusServiceUnavailable
		for sends := 0; sends < 3 && status == http.StatusServiceUnavailable; sends++ {
			r := s.requestAs(id, g, "/call/503")
			r.Header.Set("Dotterelpulley-Deadline-Ms", "500")
			status = s.send(r).status
		}
		s.Check(status, qt.Equals, http.StatusOK, qt.Commentf(id))
		s.Check(one.runsOf(id)+two.runsOf(id), qt.Equals, 1, qt.Commentf(id))
	}
}

// A host that forwards told its caller that the request had not run, as an earlier build said so of one that had reached an endpoint.
func TestARefusalByAnEarlierBuildHoldsOnlyBeforeAnyEndpoint(t *testing.T) {
	for arrivals, promised := range map[string]bool{"0": true, "1 i-1": false} {
		t.Run("arrivals "+arrivals, func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			s.endpoint("i-1", "plain", answerHello)
			s.endpoint("i-0", "idle", answerHello)
			helper := s.scriptedEndpoint("helper", "other", func(conn net.Conn, _ *http.Request) bool {
				_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Refused\r\nDotterel-Refusal: %s\r\nDotterel-Arrivals: %s\r\nContent-Length: 0\r\n\r\n", dotterelpulley.ErrorNoEndpoint, arrivals)
				return err == nil
			})
			for _, g := range startHosts(s, 2) {
				s.waitFor("the host knows the endpoints", func() bool { return len(registrations(g)) == 3 })
				s.waitForAllowance(g, 100)
			}
			g := s.gateways[0]
			address := ""
			for _, e := range registrations(g) {
				if e.ID == "helper" {
					address = string(e.Address)
				}
			}
			g.hosts.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
				var d net.Dialer
				return d.DialContext(ctx, network, address)
			}
			s.cutOff(0, "plain")
			got := s.post(g, "/call/", "book")
			s.Check(helper.requests.Load(), qt.Equals, int64(1))
			s.Check(platform.PromisesNotRun(got.status), qt.Equals, promised, qt.Commentf("status %d", got.status))
		})
	}
}
