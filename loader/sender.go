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
	// gracePeriod is how long a caller waits for the answer after its deadline.
	gracePeriod    = 2 * time.Second
	dialTimeout    = time.Second
	maxConns       = 4096
	maxIdle        = 5 * time.Second
	entriesTimeout = 2 * time.Second
)

// sender sends requests to entry hosts and validates their answers.
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

// dialError marks a failure to connect, after which nothing was sent.
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

// send sends the arrival to the entry host and returns the validated answer.
func (s *sender) send(a Arrival, entry dotterelpulley.Address, now elapsedFunc) Send {
	sentAt := now()
	validator := &Validator{Expected: expect(a)}
	if remaining := a.Timeout - sentAt; remaining > 0 {
		s.exchange(a, entry, validator, now)
	} else {
		validator.Add(sentAt, Failure{Outcome: OutcomeTimedOut, Fault: "no time left"})
	}
	send := validator.Send()
	send.Entry = entry
	send.SentAt = sentAt
	return send
}

func (s *sender) exchange(a Arrival, entry dotterelpulley.Address, validator *Validator, now elapsedFunc) {
	remaining := a.Timeout - now()
	body, err := json.Marshal(toWire(a, remaining))
	if err != nil {
		validator.Add(now(), Failure{Outcome: OutcomeUnreachable, Fault: err.Error()})
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
	if err := s.http.DoDeadline(req, resp, time.Now().Add(remaining+gracePeriod)); err != nil {
		validator.Add(now(), sendFailure(err))
		return
	}
	readResponse(resp, validator, now)
	if err := resp.CloseBodyStream(); err != nil {
		validator.Add(now(), connectionFailure(err))
	}
}

func readResponse(resp *fasthttp.Response, validator *Validator, now elapsedFunc) {
	if resp.StatusCode() == http.StatusOK && string(resp.Header.ContentType()) == "text/event-stream" {
		readStream(resp.BodyStream(), validator, now)
		return
	}
	data, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		validator.Add(now(), connectionFailure(err))
		return
	}
	var event Event
	if resp.StatusCode() == http.StatusOK {
		event, err = decodeBody(data)
	} else {
		event, err = decodeRefusal(data)
	}
	if err != nil {
		event = Failure{Outcome: OutcomeWrong, Fault: fmt.Sprintf("status %d: %v", resp.StatusCode(), err)}
	}
	validator.Add(now(), event)
}

func sendFailure(err error) Failure {
	var dialFailure dialError
	if errors.As(err, &dialFailure) {
		return Failure{Outcome: OutcomeUnreachable, Fault: err.Error()}
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		return Failure{Outcome: OutcomeTimedOut, Fault: err.Error()}
	}
	return connectionFailure(err)
}

// fetchEntries requests the addresses of the entry hosts to use in the zone.
func (s *sender) fetchEntries(host dotterelpulley.Address, zone dotterelpulley.ZoneID) (Entries, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(host) + "/v1/entries?zone=" + string(zone))
	if err := s.http.DoTimeout(req, resp, entriesTimeout); err != nil {
		return Entries{}, fmt.Errorf("fetch entries from %s: %w", host, err)
	}
	if resp.StatusCode() != http.StatusOK {
		return Entries{}, fmt.Errorf("fetch entries from %s: status %d", host, resp.StatusCode())
	}
	var w wireEntries
	if err := json.NewDecoder(resp.BodyStream()).Decode(&w); err != nil {
		return Entries{}, fmt.Errorf("decode entries from %s: %w", host, err)
	}
	return w.fromWire()
}
