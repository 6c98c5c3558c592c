package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/router"
)

const (
	// unreadyRetry is when a caller comes back to a host that knows no configuration yet.
	unreadyRetry = 500 * time.Millisecond
	// defaultPatience is taken for a caller that doesn't say how long it waits, on a route without a limit.
	defaultPatience = time.Minute
	// rateRequest is what a request counts where the cap counts requests.
	rateRequest = 1
)

// request is a caller's request on its way through the host.
type request struct {
	platform.RequestMetadata
	route        *router.Route
	service      dotterelpulley.ServiceID
	organisation dotterelpulley.OrganisationID
	priority     router.Priority
	amount       rationer.Amount
	version      int64
	arrived      time.Time
	deadline     time.Time
	fingerprint  isolator.Fingerprint

	method string
	target string
	host   string
	header http.Header
	body   []byte
}

// refusal is an answer of the host's own to a request.
type refusal struct {
	kind       dotterelpulley.ErrorKind
	status     int
	retryAfter time.Duration
	// why is the input that decided, for the log.
	why string
}

func refuse(kind dotterelpulley.ErrorKind, why string) *refusal {
	a := kind.Answer()
	return &refusal{kind: kind, status: a.Status, retryAfter: a.RetryAfter, why: why}
}

// serveCaller takes one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	arrived := time.Now()
	if g.drain.begun() {
		w.Header().Set("Connection", "close")
	}
	q, no := g.admit(arrived, r)
	if no == nil {
		no = g.readBody(w, r, q)
	}
	if no == nil {
		no = g.take(arrived, q)
	}
	if no != nil {
		g.answerRefusal(w, q, no)
		return
	}
	g.live(w, r, q)
}

// admit finds the request's route and organisation.
func (g *Gateway) admit(now time.Time, r *http.Request) (*request, *refusal) {
	q := &request{
		RequestMetadata: platform.DecodeRequestMetadata(r.Header), arrived: now,
		method: r.Method, target: r.RequestURI, host: r.Host,
	}
	t := g.table.Load()
	if t == nil {
		no := refuse(dotterelpulley.ErrorNotReady, "no configuration yet")
		no.retryAfter = unreadyRetry
		return q, no
	}
	q.version = t.Version
	current := !t.RequiresKey() || g.current()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := t.Match(r.Host, path)
	if !ok {
		if !current {
			return q, refuse(dotterelpulley.ErrorNotReady, "configuration too old to tell that the route is unknown")
		}
		return q, refuse(dotterelpulley.ErrorUnknownService, "no route")
	}
	q.route, q.priority = route, route.Priority
	if t.RequiresKey() && !route.Public {
		if !current {
			return q, refuse(dotterelpulley.ErrorNotReady, "configuration too old to check keys")
		}
		o, ok := t.OrganisationForKey(q.Key)
		if !ok {
			return q, refuse(dotterelpulley.ErrorUnauthenticated, "unknown key")
		}
		q.organisation = o.ID
		q.amount = amountOf(o, q.RequestMetadata)
		if o.HasPriority {
			q.priority = o.Priority
		}
	}
	if q.service, ok = route.SelectService(q.AttemptID); !ok {
		return q, refuse(dotterelpulley.ErrorNoEndpoint, "route without a service")
	}
	q.deadline = now.Add(patienceOf(q))
	return q, nil
}

// patienceOf returns how long the request may take, by its caller and its route.
func patienceOf(q *request) time.Duration {
	patience := defaultPatience
	if q.Timeout > 0 {
		patience = q.Timeout
	}
	if q.route.Timeout > 0 {
		patience = min(patience, q.route.Timeout)
	}
	return patience
}

// amountOf returns what the request counts against the organisation's cap.
func amountOf(o *router.Organisation, a platform.RequestMetadata) rationer.Amount {
	switch {
	case !o.HasCap():
		return 0
	case !o.InTokens:
		return rateRequest
	case a.HasTokenCounts:
		return rationer.Amount(a.PromptTokens + a.MaxTokens)
	default:
		return rationer.Amount(o.DefaultTokens)
	}
}

// readBody reads the whole body, within the configuration's limit.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, q *request) *refusal {
	q.header = platform.ForwardedRequestHeaders(r.Header)
	limit := g.table.Load().BodyBytes
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	var err error
	if q.body, err = io.ReadAll(body); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return refuse(dotterelpulley.ErrorTooLarge, "body over the limit")
		}
		return refuse(dotterelpulley.ErrorInvalid, "body not read: "+err.Error())
	}
	q.fingerprint = fingerprintOf(q)
	return nil
}

// fingerprintOf stands for what the request asks, so that a resend has the same one.
func fingerprintOf(q *request) isolator.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{string(q.organisation), q.method, q.target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.body)
	return isolator.Fingerprint(d.Sum64())
}

// take checks the organisation's usage cap and the request's record of crashes.
func (g *Gateway) take(now time.Time, q *request) *refusal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if verdict, _ := g.isolation.Check(now, q.fingerprint); verdict == isolator.Isolated {
		no := refuse(dotterelpulley.ErrorIsolated, "the request crashed endpoints before")
		// This try hasn't run; a status that says otherwise would make the caller send it again.
		no.status = http.StatusServiceUnavailable
		no.retryAfter = crashMemory
		return no
	}
	if q.organisation == "" {
		return nil
	}
	if over, ok := g.rations.Admit(now, q.organisation, q.amount); !ok {
		no := refuse(dotterelpulley.ErrorShed, fmt.Sprintf("over the cap: %.0f asked, %.0f saved up, %.0f of %.0f used in the window",
			q.amount, over.Level, over.Used, over.Allowed))
		no.retryAfter = max(over.RetryAfter, unreadyRetry)
		return no
	}
	return nil
}

// giveBack returns what the request took of its cap, as it has not run.
func (g *Gateway) giveBack(q *request) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.rations.Refund(q.organisation, q.amount)
}

// answerRefusal gives the caller the host's own answer.
func (g *Gateway) answerRefusal(w http.ResponseWriter, q *request, no *refusal) {
	g.metrics.Inc("refused-" + no.kind.String())
	g.decided(log.InfoLevel, "refused", q).Str("kind", no.kind.String()).Int("status", no.status).
		Str("why", no.why).Dur("retry-after", no.retryAfter).Msg("")
	platform.SetRefusalHeaders(w.Header(), q.AttemptID, no.retryAfter)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(no.status)
	if _, err := io.WriteString(w, no.kind.String()+"\n"); err != nil {
		g.metrics.Inc("answers-unsent")
	}
}

// decided begins the log line of a decision on the request.
func (g *Gateway) decided(level log.Level, name string, q *request) *log.Entry {
	e := g.event(level, name).Str("request", q.AttemptID).Int64("version", q.version).
		Dur("after", time.Since(q.arrived))
	if age, ok := g.contact.age(); ok {
		e = e.Dur("configuration-age", age)
	}
	if q.route != nil {
		e = e.Str("route", string(q.route.ID)).Str("service", string(q.service))
	}
	if q.PromptTokens > 0 {
		e = e.Int("prompt", int(q.PromptTokens)).Int("likely", int(q.EstimatedTokens))
	}
	if q.organisation != "" {
		e = e.Str("organisation", string(q.organisation))
	}
	return e
}
