package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
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
	g := p.gateway
	now := time.Now()
	helpers := g.helpers(now, p.service)
	g.paths.mutex.Lock()
	helper, ok := g.paths.Choose(helpers, p.excludedHelpers)
	g.paths.mutex.Unlock()
	if !ok || len(p.excludedHelpers) >= maxForwards {
		refused := p.helperRefusal
		if refused == nil {
			refused = newRefusal(dotterelpulley.ErrorNoEndpoint, fmt.Sprintf("no link to the endpoints, %d other hosts have one", len(helpers)))
		}
		p.refuse(refused)
		return outcomeDone
	}
	defer func() {
		g.paths.mutex.Lock()
		defer g.paths.mutex.Unlock()
		g.paths.Done(helper.ID)
	}()
	g.metrics.Inc("forwarded-out")
	p.logForwarding(helper.ID)
	a := attempt{
		Placed: scheduler.Placed{ID: scheduler.ID(g.nextWorkID.Add(1))}, startedAt: now, helper: helper.ID,
		attemptID: isolator.AttemptOf(fmt.Sprintf("%s/%s/%d", p.AttemptID, helper.ID, len(p.excludedHelpers))),
	}
	p.useRepeat()
	p.sends.begin()
	// The helper learns from the end of the connection that the caller has left. It goes on with what it has sent.
	ctx, hangUp := context.WithCancel(ctx)
	defer hangUp()
	defer context.AfterFunc(p.caller.Context, hangUp)()
	exchange, err := p.dispatchThrough(ctx, a, helper)
	p.noteCarrier(&a, carrierOf(exchange, err))
	if err != nil {
		p.excludeHelper(helper.ID)
		return p.handleExchangeError(ctx, a, err)
	}
	before := p.arrivals.count
	named := p.noteArrivalsElsewhere(exchange)
	arrived := p.arrivals.count > before
	if !named || !arrived {
		// Another host may have an endpoint that this one lacks, or knows which endpoints to leave out.
		p.excludeHelper(helper.ID)
	}
	if name := exchange.Header.Get(headerRefusal); name != "" {
		return p.handleHelperRefusal(ctx, a, exchange, dotterelpulley.ParseErrorKind(name), arrived)
	}
	return p.handleResponse(ctx, a, exchange, platform.DecodeResponseMetadata(exchange.StatusCode, exchange.Header))
}

func (p *proxiedRequest) excludeHelper(id dotterelpulley.HostID) {
	if p.excludedHelpers == nil {
		p.excludedHelpers = map[dotterelpulley.HostID]bool{}
	}
	p.excludedHelpers[id] = true
}

// dispatchThrough sends the request to the helper and waits for the response's headers.
func (p *proxiedRequest) dispatchThrough(ctx context.Context, a attempt, helper pathfinder.Helper) (*connector.Exchange, error) {
	header := p.header.Clone()
	platform.Forward{Key: p.Key, Remaining: time.Until(p.deadline), LastEventID: p.lastEventID}.Apply(header)
	header.Set(headerForwarded, strconv.FormatInt(time.Since(p.arrived).Milliseconds(), 10))
	header.Set(headerArrivals, p.arrivals.encode())
	return p.gateway.hosts.Do(ctx, helper.Address, connector.Request{
		Method: p.method, Target: p.target, Host: p.host, ID: p.AttemptID, Header: header, Body: p.body,
		BeforeSend: p.caller.permitSend, OnSent: func() { p.noteSent(a) },
	})
}

// handleHelperRefusal decides how the request continues after the helper's own answer; arrived means that the helper has sent it
// to an endpoint.
func (p *proxiedRequest) handleHelperRefusal(ctx context.Context, a attempt, exchange *connector.Exchange, kind dotterelpulley.ErrorKind, arrived bool) outcome {
	metadata := platform.DecodeResponseMetadata(exchange.StatusCode, exchange.Header)
	p.drainBody(exchange)
	cause := fmt.Errorf("host %s answered %s", a.helper, kind)
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

// dispatchUnlessSilent dispatches the request. If no endpoint sends anything and the links are found to be lost, a request that
// may run again no longer waits for its response.
func (p *proxiedRequest) dispatchUnlessSilent(ctx context.Context, a attempt) (*connector.Exchange, error) {
	if !p.route.Repeatable() || p.origin.forwarded {
		return p.dispatch(ctx, a, nil)
	}
	// The parent ends with the request, and this context with it.
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(p.gateway.paths.nextLoss(p.service), func() {
		if p.mustForward() && p.gateway.connector.Silence(time.Now()) >= linkSilence {
			cancel()
		}
	})
	defer stop()
	return p.dispatch(ctx, a, nil)
}

// endUnreached finishes an attempt whose endpoint wasn't reached because this host's links are lost, which is no fault of the
// endpoint: another host may send it the request.
func (p *proxiedRequest) endUnreached(a attempt, err error) {
	p.arrivals.endpoints = slices.DeleteFunc(p.arrivals.endpoints, func(id dotterelpulley.EndpointID) bool { return id == a.Endpoint.ID })
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
