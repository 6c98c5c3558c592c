package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/pathfinder"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// headerForwarded marks a request from another host; its value is the time that the request has spent there, in milliseconds.
	headerForwarded = "Dotterel-Forwarded"
	// headerRefusal is the error kind of a host's own answer to a forwarded request.
	headerRefusal = "Dotterel-Refusal"
	// maxForwards limits the hosts that one request is forwarded to.
	maxForwards = 3
	// forwardedRuns is how many endpoints may run a request at the host that it is forwarded to: the host that has its caller
	// decides on repeats.
	forwardedRuns = 1
)

// origin says where a request comes from; the zero value is a caller.
type origin struct {
	// forwarded means that it comes from another host, which has admitted it.
	forwarded bool
	// waited is the time that the request has spent there, arrivals are those before it was forwarded.
	waited   time.Duration
	arrivals endpointArrivals
}

// serveForwarded handles a request that another host can't send to an endpoint itself.
func (g *Gateway) serveForwarded(w http.ResponseWriter, r *http.Request) {
	waited, err := strconv.ParseInt(r.Header.Get(headerForwarded), 10, 32)
	if err != nil || waited < 0 {
		http.Error(w, "invalid "+headerForwarded, http.StatusBadRequest)
		return
	}
	arrivals, _ := decodeArrivals(r.Header)
	r.Header.Del(headerForwarded)
	r.Header.Del(headerArrivals)
	// The time limit of the listener is for small calls.
	g.limitBodyTime(w, time.Time{})
	g.metrics.Inc("forwarded-in")
	g.serve(w, r, origin{forwarded: true, waited: time.Duration(waited) * time.Millisecond, arrivals: arrivals})
}

// mustForward reports whether only another host can reach the endpoints of the request's service.
func (p *proxiedRequest) mustForward() bool {
	return !p.origin.forwarded && p.gateway.paths.lost(p.service)
}

// forward sends the request through another host, unless there is none that reaches its endpoints.
func (p *proxiedRequest) forward(ctx context.Context) outcome {
	helper, ok := p.chooseHelper()
	if !ok {
		refused := p.helperRefusal
		if refused == nil {
			refused = newRefusal(dotterelpulley.ErrorNoEndpoint, "no link to the endpoints, and no other host left to try")
		}
		p.refuse(refused)
		return outcomeDone
	}
	defer p.gateway.paths.done(helper.ID)
	a := p.startForward(helper)
	// The helper learns from the end of the connection that the caller has left. It goes on with what it has sent.
	ctx, hangUp := context.WithCancel(ctx)
	defer hangUp()
	defer context.AfterFunc(p.caller.Context, hangUp)()
	exchange, err := p.dispatchThrough(ctx, a, p.arrivals, nil)
	return p.handleHelperExchange(ctx, a, exchange, err)
}

// chooseHelper returns a host that reaches the request's endpoints, and counts the request there until paths.done is called. It returns
// false if there is none left to try.
func (p *proxiedRequest) chooseHelper() (pathfinder.Helper, bool) {
	if len(p.excludedHelpers) >= maxForwards {
		return pathfinder.Helper{}, false
	}
	helpers := p.gateway.helpers(time.Now(), p.service)
	p.gateway.paths.mutex.Lock()
	defer p.gateway.paths.mutex.Unlock()
	return p.gateway.paths.Choose(helpers, p.excludedHelpers)
}

// startForward begins an attempt through the helper, which finishAttempt ends.
func (p *proxiedRequest) startForward(helper pathfinder.Helper) attempt {
	p.gateway.metrics.Inc("forwarded-out")
	p.logForwarding(helper.ID)
	a := attempt{
		Placed: scheduler.Placed{ID: scheduler.ID(p.gateway.nextWorkID.Add(1))}, startedAt: time.Now(), number: p.attempts + 1, helper: helper,
		attemptID: isolator.AttemptOf(fmt.Sprintf("%s/%s/%d", p.AttemptID, helper.ID, len(p.excludedHelpers))),
	}
	p.useRepeat()
	p.sends.begin()
	return a
}

// handleHelperExchange relays the answer of the attempt's helper, or decides how the request continues without one.
func (p *proxiedRequest) handleHelperExchange(ctx context.Context, a attempt, exchange *connector.Exchange, err error) outcome {
	p.noteCarrier(&a, carrierOf(exchange, err))
	if err != nil {
		p.excludeHelper(a.helper.ID)
		return p.handleExchangeError(ctx, a, err)
	}
	arrived := p.noteHelperArrivals(a, exchange)
	if name := exchange.Header.Get(headerRefusal); name != "" {
		return p.handleHelperRefusal(ctx, a, exchange, dotterelpulley.ParseErrorKind(name), arrived)
	}
	return p.handleResponse(ctx, a, exchange, platform.DecodeResponseMetadata(exchange.StatusCode, exchange.Header))
}

// noteHelperArrivals adopts the arrivals that the helper names in its answer, and reports whether there are more than before.
func (p *proxiedRequest) noteHelperArrivals(a attempt, exchange *connector.Exchange) (arrived bool) {
	before := p.arrivals.count
	named := p.noteArrivalsElsewhere(exchange)
	arrived = p.arrivals.count > before
	if !named || !arrived {
		// Another host may have an endpoint that this one lacks, or knows which endpoints to leave out.
		p.excludeHelper(a.helper.ID)
	}
	return arrived
}

func (p *proxiedRequest) excludeHelper(id dotterelpulley.HostID) {
	if p.excludedHelpers == nil {
		p.excludedHelpers = map[dotterelpulley.HostID]bool{}
	}
	p.excludedHelpers[id] = true
}

// dispatchThrough sends the request to the attempt's helper, which learns of the arrivals, and waits for the response's headers; it
// changes nothing of p. onSent, if not nil, is called in between.
func (p *proxiedRequest) dispatchThrough(ctx context.Context, a attempt, told endpointArrivals, onSent func()) (*connector.Exchange, error) {
	header := p.header.Clone()
	platform.Forward{Key: p.Key, Remaining: time.Until(p.deadline), LastEventID: p.lastEventID}.Apply(header)
	header.Set(headerForwarded, strconv.FormatInt(time.Since(p.arrived).Milliseconds(), 10))
	header.Set(headerArrivals, told.encode())
	return p.gateway.hosts.Do(ctx, a.helper.Address, connector.Request{
		Method: p.method, Target: p.target, Host: p.host, ID: p.AttemptID, Header: header, Body: p.body,
		BeforeSend: p.caller.permitSend, OnSent: p.onSent(a, onSent),
	})
}

// handleHelperRefusal decides how the request continues after the helper's own answer; arrived means that the helper has sent it
// to an endpoint.
func (p *proxiedRequest) handleHelperRefusal(ctx context.Context, a attempt, exchange *connector.Exchange, kind dotterelpulley.ErrorKind, arrived bool) outcome {
	metadata := platform.DecodeResponseMetadata(exchange.StatusCode, exchange.Header)
	p.drainBody(exchange)
	cause := fmt.Errorf("host %s answered %s", a.helper.ID, kind)
	proof := hostProof(kind, exchange.Header, arrived)
	if proof == nil {
		return p.handleFailedRun(ctx, a, cause)
	}
	p.sends.disprove(proof)
	p.finishAttempt(a, scheduler.ResultRefused, cause)
	refused := newRefusal(kind, cause.Error())
	refused.status, refused.retryAfter = http.StatusServiceUnavailable, metadata.Pause
	switch kind {
	case dotterelpulley.ErrorDeadlineUnreachable, dotterelpulley.ErrorDeadlinePassed, dotterelpulley.ErrorIsolated:
		// Another host would decide alike.
		p.refuse(refused)
		return outcomeDone
	default:
		p.helperRefusal = refused
		if arrived {
			return p.retry()
		}
		return outcomeNextEndpoint
	}
}

// endUnreached finishes an attempt whose endpoint wasn't reached because this host's links are lost, which is no fault of the
// endpoint: another host may send it the request.
func (p *proxiedRequest) endUnreached(a attempt, err error) {
	p.arrivals = p.arrivals.without(a.Endpoint.ID)
	p.finishAttempt(a, scheduler.ResultCancelled, fmt.Errorf("links lost: %w", err))
}

// logForwarding logs that the request goes through another host.
func (p *proxiedRequest) logForwarding(helper dotterelpulley.HostID) {
	level := log.InfoLevel
	if p.attempts > 0 || len(p.excludedHelpers) > 0 {
		level = log.WarnLevel
	}
	p.gateway.requestEvent(level, "forwarded", p.request).Str("peer", string(helper)).Str("reached", p.arrivals.encode()).Err(p.lastError).Msg("")
}
