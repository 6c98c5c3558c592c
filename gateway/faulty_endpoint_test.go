package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
)

// runLedger counts the runs of requests at all endpoints, by attempt and by booking.
type runLedger struct {
	mutex    sync.Mutex
	attempts map[string]int
	bookings map[string]int
}

func (l *runLedger) ran(r *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attempts[r.Header.Get("Dotterelpulley-Attempt-Id")]++
	l.bookings[r.URL.Path]++
}

func (l *runLedger) runs(attempt string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.attempts[attempt]
}

// faultyEndpoint answers each request as a seed draws it, and may be stopped and started again at its address.
type faultyEndpoint struct {
	*runLedger
	id      dotterelpulley.EndpointID
	address string

	mutex    sync.Mutex
	random   *rand.Rand
	listener net.Listener
	conns    map[net.Conn]bool
	serving  sync.WaitGroup
}

// draw returns a random number below n.
func (e *faultyEndpoint) draw(n int) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.random.IntN(n)
}

func (e *faultyEndpoint) start(c *qt.C) {
	listener, err := net.Listen("tcp", e.address)
	c.Assert(err, qt.IsNil)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.address, e.listener, e.conns = listener.Addr().String(), listener, map[net.Conn]bool{}
	e.serving.Go(func() { e.accept(listener) })
}

func (e *faultyEndpoint) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mutex.Lock()
		e.conns[conn] = true
		e.mutex.Unlock()
		e.serving.Go(func() { e.serve(conn) })
	}
}

// stop resets all connections and waits for what they served.
func (e *faultyEndpoint) stop() {
	e.mutex.Lock()
	e.listener.Close()
	for conn := range e.conns {
		reset(conn)
	}
	e.mutex.Unlock()
	e.serving.Wait()
}

func reset(conn net.Conn) {
	// A connection that has ended can't be reset.
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// refusals are the refusals that a connection has carried, by the id of the request.
type refusals map[string]string

// serve answers the requests of a connection; again is written before the next answer, by a faulty endpoint, and the refusal of a
// request before that to a further one with its id.
func (e *faultyEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	again, refused := "", refusals{}
	for goesOn := true; goesOn; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, again+refused[r.Header.Get("Dotterelpulley-Attempt-Id")]); err != nil {
			return
		}
		again, goesOn = e.answer(conn, r, refused)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// readThenRun reads the rest of the request and runs it.
func (e *faultyEndpoint) readThenRun(r *http.Request) bool {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	e.ran(r)
	return true
}

var refusalStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// answer answers one request. It returns what comes once more before the next answer, and whether the connection goes on.
func (e *faultyEndpoint) answer(conn net.Conn, r *http.Request, refused refusals) (again string, goesOn bool) {
	named := "Dotterelpulley-Attempt-Id: " + r.Header.Get("Dotterelpulley-Attempt-Id") + "\r\n"
	status := refusalStatuses[e.draw(len(refusalStatuses))]
	refusal := func(name string) string {
		return fmt.Sprintf("HTTP/1.1 %d Refused\r\nDotterelpulley-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", status, name)
	}
	failure := func(status int, fields string) string {
		return fmt.Sprintf("HTTP/1.1 %d Failed\r\n%sContent-Length: 0\r\n\r\n", status, fields)
	}
	whole := "HTTP/1.1 200 OK\r\nDotterelpulley-Response-Stamp: s\r\n" + named + "Content-Length: 5\r\n\r\nhello"
	if strings.HasPrefix(r.URL.Path, "/plan/") {
		body := events(&http.Request{}, 3)
		whole = fmt.Sprintf("HTTP/1.1 200 OK\r\nDotterelpulley-Response-Stamp: s\r\n%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", named, len(body), body)
	}
	write := func(text string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	kind := e.draw(20)
	if kind < 4 {
		refused[r.Header.Get("Dotterelpulley-Attempt-Id")] = refusal(named)
	}
	switch kind {
	case 0, 1:
		// The refusal may come before the body has been read.
		return "", write(refusal(named))
	case 2:
		return refusal(named), write(refusal(named))
	case 3:
		return refusal(""), write(refusal(named))
	case 4:
		return "", write(failure(http.StatusMisdirectedRequest, named))
	}
	if !e.readThenRun(r) {
		return "", false
	}
	switch kind {
	case 5:
		return "", false
	case 6:
		reset(conn)
		return "", false
	case 7:
		write(whole[:e.draw(len(whole))])
		return "", false
	case 8:
		return "", write(whole + "more bytes")
	case 9:
		return "", write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + whole)
	case 10:
		return whole, write(whole)
	case 11:
		return "", write(failure(http.StatusInternalServerError, "Dotterelpulley-Not-Executed: 1\r\n"+named))
	case 12:
		return "", write(failure(status, named+"Dotterelpulley-Response-Stamp: s\r\n"))
	case 13:
		return "", write(failure(status, ""))
	case 14:
		return "", write(failure(http.StatusMisdirectedRequest, ""))
	}
	return "", write(whole)
}

// register writes the endpoint's registrations to the store: it serves calls and streams, each as an endpoint of its own.
func (e *faultyEndpoint) register(s *site, sequence int) {
	for _, service := range []string{"plain", "model"} {
		s.store.Put(platform.EndpointsTopic, service+"-"+string(e.id), fmt.Appendf(nil,
			`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":%d}`, service, e.address, sequence))
	}
}

// startFaultyEndpoints starts endpoints that share a ledger and draw from the seed.
func startFaultyEndpoints(s *site, seed uint64, count int) []*faultyEndpoint {
	ledger := &runLedger{attempts: map[string]int{}, bookings: map[string]int{}}
	var endpoints []*faultyEndpoint
	for i := range count {
		e := &faultyEndpoint{
			runLedger: ledger, id: dotterelpulley.EndpointID(fmt.Sprintf("i-%d", i)), address: "127.0.0.1:0",
			random: rand.New(rand.NewPCG(seed, uint64(i))),
		}
		e.start(s.C)
		s.TB.(*testing.T).Cleanup(e.stop)
		e.register(s, 1)
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// bodyReader returns a body of which the length isn't announced, so that it is sent in chunks.
func bodyReader(body string) io.Reader {
	return io.MultiReader(strings.NewReader(body))
}
