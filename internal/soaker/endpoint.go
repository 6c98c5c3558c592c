package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin/proxy"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

const (
	// work is how long a plain answer takes, gap the time between two events; short, so that a soak has many.
	work = 15 * time.Millisecond
	gap  = 8 * time.Millisecond
	// misbehaves is the part of the requests that a misbehaving endpoint mistreats.
	misbehaves = 0.4
)

// manner is how an endpoint mistreats a part of its requests.
type manner int

const (
	mannerWell manner = iota
	// mannerCut breaks answers off, mannerFail answers 500, mannerFull refuses without running.
	mannerCut
	mannerFail
	mannerFull
	manners
)

// endpoint is a stand-in behind a proxy.
type endpoint struct {
	*standin.Endpoint

	proxy  *proxy.Proxy
	ledger *ledger

	mutex  sync.Mutex
	random *rand.Rand
	manner manner
}

func startEndpoint(id dotterelpulley.EndpointID, service dotterelpulley.ServiceID, l *ledger, seed uint64) (*endpoint, error) {
	e := &endpoint{ledger: l, random: rand.New(rand.NewPCG(seed, 2))}
	e.Endpoint = standin.StartEndpoint(id, service, e.behave)
	e.proxy = &proxy.Proxy{Target: e.Address()}
	if err := e.proxy.Start("127.0.0.1:0"); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *endpoint) close() error {
	err := e.proxy.Close()
	e.Close()
	return err
}

func (e *endpoint) register(s *standin.Store, state string) {
	e.RegisterAt(s, e.proxy.Address(), state)
}

func (e *endpoint) turn(m manner) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.manner = m
}

// next is how the next request is treated.
func (e *endpoint) next() manner {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.random.Float64() < misbehaves {
		return e.manner
	}
	return mannerWell
}

func (e *endpoint) behave(w http.ResponseWriter, r *http.Request, _ int) {
	asked := standin.DecodeDispatchMetadata(r.Header)
	a := Attempt(asked.AttemptID)
	m := e.next()
	organisation, version := unversioned(asked.Organisation)
	arrival := Arrival{
		Attempt: a, Endpoint: e.ID, Service: e.Service, Organisation: organisation, Version: version, At: time.Now(),
		Ran: m != mannerFull, KeyPassed: asked.Key != "",
	}
	e.ledger.note(func(o *Observed) { o.Arrivals = append(o.Arrivals, arrival) })
	switch {
	case m == mannerFull:
		standin.WriteNotExecuted(w)
	case m == mannerFail:
		standin.SignResponse(w)
		w.WriteHeader(http.StatusInternalServerError)
	case e.Service == modelService:
		e.stream(w, r, asked, m)
	default:
		pauseFor(r, work)
		if m == mannerCut {
			standin.AbortResponse()
		}
		standin.SignResponse(w)
		if _, err := io.WriteString(w, bodyOf(a)); err != nil {
			return
		}
	}
}

// stream answers with events, from the one after the last that the caller has.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, asked standin.DispatchMetadata, m manner) {
	last, err := strconv.Atoi(asked.LastEventID)
	if err != nil {
		last = 0
	}
	count := eventsOf(Attempt(asked.AttemptID))
	standin.SignResponse(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for number := last + 1; number <= count; number++ {
		if !pauseFor(r, gap) {
			return
		}
		if m == mannerCut && number > count/2 {
			standin.AbortResponse()
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, asked.AttemptID); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// pauseFor waits and reports whether the request still lasts.
func pauseFor(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
