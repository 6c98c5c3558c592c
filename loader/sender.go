package loader

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// grace is how long a caller waits past its deadline for the last word.
	grace        = 2 * time.Second
	dialTimeout  = time.Second
	maxConns     = 4096
	maxIdle      = 5 * time.Second
	entryTimeout = 2 * time.Second
)

// sender sends requests to entry hosts and judges their answers.
type sender struct {
	http fasthttp.Client
}

func newSender() *sender {
	return &sender{http: fasthttp.Client{
		StreamResponseBody:        true,
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       maxIdle,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		Dial:                      dial,
	}}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// dialError tells that no connection was made.
type dialError struct{ error }

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, dialError{err}
	}
	return conn, nil
}

var paths = map[dotterelpulley.RequestKind]string{
	dotterelpulley.KindPlan:    "/v1/plans",
	dotterelpulley.KindNotice:  "/v1/notices",
	dotterelpulley.KindBooking: "/v1/bookings",
}

// send sends the arrival to the entry host and returns the judged answer.
func (s *sender) send(a Arrival, entry dotterelpulley.Address, now elapsed) Send {
	sent := now()
	judge := &Judge{Expect: expect(a)}
	if left := a.Within - sent; left > 0 {
		s.exchange(a, entry, judge, now)
	} else {
		judge.Take(sent, Lost{Outcome: OutcomeTimedOut, Fault: "no time left"})
	}
	result := judge.Send()
	result.Entry = entry
	result.Sent = sent
	return result
}

func (s *sender) exchange(a Arrival, entry dotterelpulley.Address, judge *Judge, now elapsed) {
	left := a.Within - now()
	body, err := json.Marshal(toWire(a, left))
	if err != nil {
		judge.Take(now(), Lost{Outcome: OutcomeUnreachable, Fault: err.Error()})
		return
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(entry) + paths[a.Request.Kind])
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Idempotency-Key", string(a.Request.Key.Idempotency))
	req.SetBody(body)
	if err := s.http.DoDeadline(req, resp, time.Now().Add(left+grace)); err != nil {
		judge.Take(now(), failed(err))
		return
	}
	read(resp, judge, now)
	if err := resp.CloseBodyStream(); err != nil {
		judge.Take(now(), lost(err))
	}
}

func read(resp *fasthttp.Response, judge *Judge, now elapsed) {
	if resp.StatusCode() == http.StatusOK && string(resp.Header.ContentType()) == "text/event-stream" {
		readStream(resp.BodyStream(), judge, now)
		return
	}
	data, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		judge.Take(now(), lost(err))
		return
	}
	var event Event
	if resp.StatusCode() == http.StatusOK {
		event, err = decodeBody(data)
	} else {
		event, err = decodeRefusal(data)
	}
	if err != nil {
		event = Lost{Outcome: OutcomeWrong, Fault: fmt.Sprintf("status %d: %v", resp.StatusCode(), err)}
	}
	judge.Take(now(), event)
}

func failed(err error) Lost {
	var unreachable dialError
	if errors.As(err, &unreachable) {
		return Lost{Outcome: OutcomeUnreachable, Fault: err.Error()}
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return Lost{Outcome: OutcomeTimedOut, Fault: err.Error()}
	}
	return lost(err)
}

// entries asks the host for the addresses to use.
func (s *sender) entries(host dotterelpulley.Address, zone dotterelpulley.ZoneID) (Entries, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(host) + "/v1/entries?zone=" + string(zone))
	if err := s.http.DoTimeout(req, resp, entryTimeout); err != nil {
		return Entries{}, fmt.Errorf("ask %s for entries: %w", host, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return Entries{}, fmt.Errorf("ask %s for entries: status %d", host, resp.StatusCode())
	}
	var w wireEntries
	if err := json.NewDecoder(resp.BodyStream()).Decode(&w); err != nil {
		return Entries{}, fmt.Errorf("decode entries of %s: %w", host, err)
	}
	return w.fromWire()
}
