package gateway

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/abbreviator"
	"github.com/dotterelpulley/dotterelpulley/budgeter"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/router"
)

const (
	// minRetryAfter is the retry delay for callers of a host that has no configuration yet, and the shortest one for an organisation over its cap.
	minRetryAfter = 500 * time.Millisecond
	// defaultTimeout applies to a caller that sends no deadline, on a route without a timeout.
	defaultTimeout = time.Minute
	// requestAmount is the usage of one request where the cap counts requests.
	requestAmount = 1
	// unreadBodyTimeout is how long the body of a request that is refused unread may take, as the server waits for it.
	unreadBodyTimeout = time.Second
	// unreadAnswerTimeout is how long after the deadline a caller may take to read the rest of its answer.
	unreadAnswerTimeout = 2 * time.Second
)

// request is a caller's request while this host handles it.
type request struct {
	platform.RequestMetadata
	route        *router.Route
	service      dotterelpulley.ServiceID
	organisation dotterelpulley.OrganisationID
	priority     router.Priority
	usage        rationer.Amount
	version      int64
	arrived      time.Time
	deadline     time.Time
	origin       origin
	// arrivals counts the arrivals of the request at endpoints, as far as this host knows.
	arrivals endpointArrivals
	// suspects are what may crash the endpoint that runs the request, by kind.
	suspects [isolationKinds][]isolator.Part

	method string
	target string
	host   string
	header http.Header
	body   []byte
	// account is that of the connection on which the request came.
	account *budgeter.Account
}

// refusal is a response by which this host itself refuses a request.
type refusal struct {
	kind       dotterelpulley.ErrorKind
	status     int
	retryAfter time.Duration
	// reason is the input that led to the refusal, for the log.
	reason string
	// proof is what proves that the request hasn't run; nil if it may have.
	proof proof
}

func newRefusal(kind dotterelpulley.ErrorKind, reason string) *refusal {
	answer := kind.Answer()
	return &refusal{kind: kind, status: answer.Status, retryAfter: answer.RetryAfter, reason: reason}
}

// serveCaller handles one request of a caller.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	g.serve(w, r, origin{})
}

// serve handles one request of a caller or another host.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, from origin) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	arrived := time.Now()
	if g.drain.started() {
		w.Header().Set("Connection", "close")
	}
	q, refused := g.admit(arrived, r)
	q.origin, q.arrived, q.arrivals = from, arrived.Add(-from.waited), from.arrivals
	if refused == nil && from.forwarded && g.paths.lost(q.service) {
		refused = newRefusal(dotterelpulley.ErrorNoEndpoint, "no link to the endpoints either")
	}
	g.limitAnswerTime(w, arrived, q)
	q.account = budgeter.AccountOf(r.Context())
	body := buffer{account: q.account}
	defer body.release()
	if refused == nil {
		refused = g.readBody(w, r, q, &body)
	} else if r.ContentLength != 0 {
		g.limitBodyTime(w, arrived.Add(unreadBodyTimeout))
	}
	if refused == nil {
		refused = g.checkLimits(arrived, q)
	}
	if refused != nil {
		refused.proof = neverSent{}
		g.writeRefusal(w, q, refused)
		return
	}
	q.account.Serve()
	g.proxy(w, r, q)
}

// admit determines the request's route, organisation and deadline.
func (g *Gateway) admit(now time.Time, r *http.Request) (*request, *refusal) {
	q := &request{
		RequestMetadata: platform.DecodeRequestMetadata(r.Header), arrived: now,
		method: r.Method, target: r.RequestURI, host: r.Host,
	}
	q.deadline = now.Add(timeoutOf(q))
	table := g.table.Load()
	if table == nil {
		refused := newRefusal(dotterelpulley.ErrorNotReady, "no configuration yet")
		refused.retryAfter = minRetryAfter
		return q, refused
	}
	q.version = table.Version
	fresh := !table.RequiresKey() || g.configurationFresh()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := table.Match(r.Host, path)
	if !ok {
		if !fresh {
			return q, newRefusal(dotterelpulley.ErrorNotReady, "configuration too old to tell that the route is unknown")
		}
		return q, newRefusal(dotterelpulley.ErrorUnknownService, "no route")
	}
	q.route, q.priority = route, route.Priority
	if table.RequiresKey() && !route.Public {
		if !fresh {
			return q, newRefusal(dotterelpulley.ErrorNotReady, "configuration too old to check keys")
		}
		organisation, ok := table.OrganisationForKey(q.Key)
		if !ok {
			return q, newRefusal(dotterelpulley.ErrorUnauthenticated, "unknown key")
		}
		q.organisation = organisation.ID
		q.usage = usageOf(organisation, q.RequestMetadata)
		if organisation.HasPriority {
			q.priority = organisation.Priority
		}
	}
	if q.service, ok = route.SelectService(q.AttemptID); !ok {
		return q, newRefusal(dotterelpulley.ErrorNoEndpoint, "route without a service")
	}
	q.deadline = now.Add(timeoutOf(q))
	return q, nil
}

// timeoutOf returns the time limit of the request, the lower one of its caller's and its route's, if that is known.
func timeoutOf(q *request) time.Duration {
	timeout := defaultTimeout
	if q.Timeout > 0 {
		timeout = q.Timeout
	}
	if q.route != nil && q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout)
	}
	return timeout
}

// usageOf returns how much of the organisation's cap the request uses.
func usageOf(organisation *router.Organisation, metadata platform.RequestMetadata) rationer.Amount {
	switch {
	case !organisation.HasCap():
		return 0
	case !organisation.InTokens:
		return requestAmount
	case metadata.HasTokenCounts:
		return rationer.Amount(metadata.PromptTokens + metadata.MaxTokens)
	default:
		return rationer.Amount(organisation.DefaultTokens)
	}
}

// readBody reads the complete body, up to the configuration's limit.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, q *request, into *buffer) *refusal {
	q.header = platform.ForwardedRequestHeaders(r.Header)
	if r.ContentLength == 0 {
		q.suspects = suspectsOf(q)
		return nil
	}
	limit := g.table.Load().BodyBytes
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	g.limitBodyTime(w, q.deadline)
	room := math.MaxInt
	if limit > 0 && limit < math.MaxInt {
		// The end of the largest body shows only behind it.
		room = int(limit) + 1
	}
	whole, err := into.readFrom(body, room)
	if err != nil {
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			return newRefusal(dotterelpulley.ErrorTooLarge, "body over the limit")
		case errors.Is(err, os.ErrDeadlineExceeded):
			refused := newRefusal(dotterelpulley.ErrorDeadlinePassed, "the deadline passed in the body")
			// The request hasn't run.
			refused.status = http.StatusServiceUnavailable
			return refused
		}
		return newRefusal(dotterelpulley.ErrorInvalid, "body not read: "+err.Error())
	}
	if !whole {
		refused := newRefusal(dotterelpulley.ErrorShed, "no room for the body")
		refused.status, refused.retryAfter = http.StatusServiceUnavailable, minRetryAfter
		return refused
	}
	q.body = into.data
	// The caller may be silent from here on; after an error the limit stays, as the server reads on.
	g.limitBodyTime(w, time.Time{})
	q.suspects = suspectsOf(q)
	return nil
}

// limitBodyTime limits how long the caller may take to send its body; zero removes the limit.
func (g *Gateway) limitBodyTime(w http.ResponseWriter, until time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(until); err != nil {
		g.metrics.Inc("silence-limits-unset")
	}
}

// limitAnswerTime limits how long the caller may leave the answer unread, as a blocked write doesn't end with the run.
func (g *Gateway) limitAnswerTime(w http.ResponseWriter, arrived time.Time, q *request) {
	deadline := arrived
	if q.deadline.After(arrived) {
		deadline = q.deadline
	}
	if err := http.NewResponseController(w).SetWriteDeadline(deadline.Add(unreadAnswerTimeout)); err != nil {
		g.metrics.Inc("silence-limits-unset")
	}
}

// fingerprintOf returns a hash of the request's content, which is the same for a resent request.
func fingerprintOf(q *request) isolator.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{string(q.organisation), q.method, q.target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(q.body)
	return isolator.Fingerprint(digest.Sum64())
}

// checkLimits checks the request's earlier crashes and its organisation's usage cap.
func (g *Gateway) checkLimits(now time.Time, q *request) *refusal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if refused := g.checkSuspects(now, q.suspects); refused != nil {
		return refused
	}
	if q.organisation == "" || q.origin.forwarded {
		return nil
	}
	if shortfall, ok := g.rationer.Admit(now, q.organisation, q.usage, rationer.Rank(q.route.Priority)); !ok {
		refused := newRefusal(dotterelpulley.ErrorShed, fmt.Sprintf("over the cap: %.0f asked, %.0f of %.0f used in the window",
			q.usage, shortfall.Used, shortfall.Allowed))
		refused.retryAfter = max(shortfall.RetryAfter, minRetryAfter)
		return refused
	}
	return nil
}

// refundUsage returns the request's usage to its organisation's cap, as the request has not run.
func (g *Gateway) refundUsage(q *request) {
	if q.origin.forwarded {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.rationer.Refund(time.Now(), q.arrived, q.organisation, q.usage)
}

// writeRefusal sends the caller a refusal. One that promises that nothing ran needs a proof of it.
func (g *Gateway) writeRefusal(w http.ResponseWriter, q *request, refused *refusal) {
	if refused.proof == nil && platform.PromisesNotRun(refused.status) {
		g.metrics.Inc("promises-unproved")
		refused = newRefusal(dotterelpulley.ErrorOutcomeUnknown, "unproved "+refused.kind.String()+": "+refused.reason)
	}
	g.metrics.Inc("refused-" + refused.kind.String())
	g.requestEvent(refusalLevel(q), "refused", q).Str("kind", refused.kind.String()).Int("status", refused.status).
		Str("proof", proofName(refused.proof)).Str("reached", q.arrivals.encode()).Str("why", abbreviator.Text(refused.reason)).Dur("retry-after", refused.retryAfter).Msg("")
	if q.origin.forwarded {
		w.Header().Set(headerRefusal, refused.kind.String())
		w.Header().Set(headerProof, proofName(refused.proof))
		w.Header().Set(headerArrivals, q.arrivals.encode())
	}
	platform.SetRefusalHeaders(w.Header(), q.AttemptID, refused.retryAfter)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(refused.status)
	if _, err := io.WriteString(w, refused.kind.String()+"\n"); err != nil {
		g.metrics.Inc("answers-unsent")
	}
}

// refusalLevel returns the level at which a refusal is logged: one of a request that has reached an endpoint must survive a flood
// of refusals, as it tells what the caller was promised of it.
func refusalLevel(q *request) log.Level {
	if q.arrivals.count > 0 {
		return log.WarnLevel
	}
	return log.InfoLevel
}

// requestEvent starts a log event about the request.
func (g *Gateway) requestEvent(level log.Level, name string, q *request) *log.Entry {
	e := g.event(level, name).Str("request", abbreviator.Text(q.AttemptID)).Int64("version", q.version).
		Dur("after", time.Since(q.arrived))
	if age, ok := g.freshness.age(); ok {
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
