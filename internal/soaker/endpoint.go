package soaker

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin/proxy"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

const (
	// processingTime is how long a plain answer takes, eventInterval the time between two events; both are short, so that
	// a soak sends many requests.
	processingTime = 15 * time.Millisecond
	eventInterval  = 8 * time.Millisecond
	// silence is how long the endpoint of soleService falls silent in the middle of half of its streams.
	silence = 1400 * time.Millisecond
	// promptTime is how long a stream that has reached an endpoint before takes to its first event.
	promptTime = 900 * time.Millisecond
	// misbehaviourRate is the fraction of requests that a misbehaving endpoint handles wrongly.
	misbehaviourRate = 0.4
	// refusalRate is the fraction that behaviourRepeatRefusal refuses, so that often all endpoints of a service refuse a request.
	refusalRate = 0.8
)

// behaviour is how an endpoint handles a fraction of its requests.
type behaviour int

const (
	behaviourNormal behaviour = iota
	// behaviourAbort aborts answers, behaviourFail answers 500, behaviourReject refuses without executing the request.
	behaviourAbort
	behaviourFail
	behaviourReject
	behaviourCount
	// behaviourUnproved answers requests that have run with statuses that promise the contrary.
	behaviourUnproved
	// behaviourSilent falls silent in streams that can be resumed, until the connection is closed.
	behaviourSilent
	// behaviourRepeatRefusal refuses without executing the request; if the same id comes again on the same connection, it writes that
	// refusal once more and then runs the request.
	behaviourRepeatRefusal
)

// unprovedAnswers are the responses of behaviourUnproved. The last one is what a garbled response may look like.
var unprovedAnswers = []struct {
	status int
	id     bool
}{
	{http.StatusServiceUnavailable, true},
	{http.StatusTooManyRequests, true},
	{http.StatusRequestTimeout, false},
	{http.StatusMisdirectedRequest, false},
}

// refusalStatuses are the statuses of behaviourRepeatRefusal.
var refusalStatuses = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusBadRequest,
}

// endpoint is a stand-in endpoint behind a fault proxy.
type endpoint struct {
	*standin.Endpoint

	proxy  *proxy.Proxy
	ledger *ledger

	mutex     sync.Mutex
	random    *rand.Rand
	behaviour behaviour
}

func startEndpoint(id dotterelpulley.EndpointID, service dotterelpulley.ServiceID, l *ledger, seed uint64) (*endpoint, error) {
	e := &endpoint{ledger: l, random: rand.New(rand.NewPCG(seed, 2))}
	e.Endpoint = standin.StartEndpoint(id, service, e.handle)
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

func (e *endpoint) setBehaviour(b behaviour) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.behaviour = b
}

// nextBehaviour returns the behaviour for the next request.
func (e *endpoint) nextBehaviour() behaviour {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	rate := misbehaviourRate
	if e.behaviour == behaviourRepeatRefusal {
		rate = refusalRate
	}
	if e.random.Float64() < rate {
		return e.behaviour
	}
	return behaviourNormal
}

// draw returns a random number below n.
func (e *endpoint) draw(n int) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.random.IntN(n)
}

func (e *endpoint) handle(w http.ResponseWriter, r *http.Request, _ int) {
	metadata := standin.DecodeDispatchMetadata(r.Header)
	a := AttemptID(metadata.AttemptID)
	b := e.nextBehaviour()
	refusedBefore := standin.RepeatRefusal(r)
	if refusedBefore {
		b = behaviourNormal
	}
	organisation, version := splitVersion(metadata.Organisation)
	arrival := Arrival{
		AttemptID: a, Resend: resendOf(r.Header), Endpoint: e.ID, Service: e.Service, Organisation: organisation, Version: version, At: time.Now(),
		Executed: b != behaviourReject && b != behaviourRepeatRefusal, KeyForwarded: metadata.Key != "", RefusedBefore: refusedBefore,
	}
	repeated, end := e.ledger.recordArrival(arrival)
	defer end()
	switch {
	case b == behaviourReject:
		standin.WriteNotExecuted(w)
	case b == behaviourRepeatRefusal:
		standin.RefuseOnConnection(w, r, refusalStatuses[e.draw(len(refusalStatuses))])
	case b == behaviourUnproved:
		answer := unprovedAnswers[e.draw(len(unprovedAnswers))]
		standin.WriteUnproved(w, answer.status, answer.id)
	case b == behaviourFail:
		standin.SignResponse(w)
		w.WriteHeader(http.StatusInternalServerError)
	case e.Service != plainService:
		if repeated && !sleepWhileOpen(r, promptTime) {
			return
		}
		e.stream(w, r, metadata, b)
	default:
		sleepWhileOpen(r, processingTime)
		if b == behaviourAbort {
			standin.AbortResponse()
		}
		standin.SignResponse(w)
		if _, err := io.WriteString(w, expectedBody(a)); err != nil {
			return
		}
	}
}

// stream answers with events, starting after the last event that the caller has.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, metadata standin.DispatchMetadata, b behaviour) {
	lastEvent, err := strconv.Atoi(metadata.LastEventID)
	if err != nil {
		lastEvent = 0
	}
	count := expectedEvents(AttemptID(metadata.AttemptID))
	resumable := strings.HasPrefix(r.URL.Path, routeByID(resumableRoute).Prefix)
	silentFrom := lastEvent + 1 + e.draw(2)*count/2
	standin.SignResponse(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for number := lastEvent + 1; number <= count; number++ {
		if b == behaviourSilent && number == silentFrom && resumable {
			_ = http.NewResponseController(w).Flush() // The host may have left.
			<-r.Context().Done()
			return
		}
		interval := eventInterval
		if number == count/2 && e.Service == soleService && count%2 == 0 {
			interval = silence
		}
		if !sleepWhileOpen(r, interval) {
			return
		}
		if b == behaviourAbort && number > count/2 {
			standin.AbortResponse()
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, metadata.AttemptID); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}

// sleepWhileOpen waits for the duration and reports whether the request is still open.
func sleepWhileOpen(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
