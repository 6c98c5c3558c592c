package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// The bounds of the checks are those of the users' deployments. Where CPU starvation or a fault on a host can delay a
// process beyond a bound, the check skips disturbed periods.
const (
	revocationLimit = 5 * time.Second
	drainLimit      = 2 * time.Second
	recoveryTimeout = 12 * time.Second
	// disturbanceMargin is the time before an event that must be free of disturbances for a time bound to hold.
	disturbanceMargin  = 3 * time.Second
	configurationSlack = 250 * time.Millisecond
	budgetWindow       = 10 * time.Second
	budgetRatio        = 0.2
	budgetExtra        = 56
	usageWindow        = 8 * time.Second
	usageOverrun       = 0.1
	// troubleTime is how long a fault at an endpoint may break answers: connections that fell silent stay so.
	troubleTime = maxFaultDuration + routeTimeout
	// answerFraction is the part of the time limit within which a request may not end without an answer.
	answerFraction = 0.7
	// workOverlapLimit is how long an endpoint may work on a request after another one has got it.
	workOverlapLimit = 400 * time.Millisecond
	// minServedFraction is the fraction of requests that must be served after the recovery.
	minServedFraction = 0.25
)

// Finding is a violated guarantee.
type Finding struct {
	Check     string
	AttemptID AttemptID
	Detail    string
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Check, f.AttemptID, f.Detail)
}

// view is the indexed observations that the checks read.
type view struct {
	Observations
	sentByID       map[AttemptID]Sent
	arrivalsByID   map[AttemptID][]Arrival
	arrivalsBySend map[sendID][]Arrival
}

// sendID identifies one send of a request.
type sendID struct {
	attempt AttemptID
	resend  int
}

// check verifies one guarantee and reports its violations.
type check struct {
	name   string
	verify func(v view, report func(a AttemptID, format string, args ...any))
}

var checks = []check{
	{"at-most-once", executedAtMostOnce},
	{"one-endpoint-at-work", oneEndpointAtWork},
	{"refusals-are-true", refusalsNotExecuted},
	{"whole-answers", answersComplete},
	{"own-answers", answersMatchRequests},
	{"no-answer-lost", acceptedRequestsAnswered},
	{"keys", keysMatchOrganisations},
	{"revoked-keys", revokedKeysRefused},
	{"caps", usageWithinCaps},
	{"drain", drainedEndpointsIdle},
	{"configuration-never-back", configurationNeverReverts},
	{"retry-budget", repeatsWithinBudget},
	{"recovery", servesAfterRecovery},
}

// Evaluate runs all checks and returns the violations.
func Evaluate(o Observations) []Finding {
	v := view{Observations: o, sentByID: map[AttemptID]Sent{}, arrivalsByID: map[AttemptID][]Arrival{}, arrivalsBySend: map[sendID][]Arrival{}}
	for _, s := range o.Sent {
		v.sentByID[s.AttemptID] = s
	}
	for _, a := range o.Arrivals {
		v.arrivalsByID[a.AttemptID] = append(v.arrivalsByID[a.AttemptID], a)
		send := sendID{a.AttemptID, a.Resend}
		v.arrivalsBySend[send] = append(v.arrivalsBySend[send], a)
	}
	var findings []Finding
	for _, c := range checks {
		c.verify(v, func(a AttemptID, format string, args ...any) {
			findings = append(findings, Finding{Check: c.name, AttemptID: a, Detail: fmt.Sprintf(format, args...)})
		})
	}
	return findings
}

// arrivals returns the arrivals of one send.
func (v view) arrivals(s Sent) []Arrival {
	return v.arrivalsBySend[sendID{s.AttemptID, s.Resend}]
}

// executions returns how many of the arrivals were executed.
func executions(arrivals []Arrival) int {
	n := 0
	for _, arrival := range arrivals {
		if arrival.Executed {
			n++
		}
	}
	return n
}

// undisturbed reports whether no disturbance overlaps the period.
func (v view) undisturbed(from, to time.Time) bool {
	return !slices.ContainsFunc(v.Disturbances, func(d Disturbance) bool { return d.From.Before(to) && d.To.After(from) })
}

// executedAtMostOnce checks the runs of all sends of a request together, as callers send again only after a promise that it has not run.
func executedAtMostOnce(v view, report func(AttemptID, string, ...any)) {
	for id, s := range v.sentByID {
		if n := executions(v.arrivalsByID[id]); n > 1 && !routeByID(s.Route).repeatable {
			report(id, "ran %d times in %d sends", n, s.Resend+1)
		}
	}
}

// oneEndpointAtWork checks that no endpoint goes on with a request after another one has got it, unless its host can't reach it.
func oneEndpointAtWork(v view, report func(AttemptID, string, ...any)) {
	for id, arrivals := range v.arrivalsByID {
		arrivals = slices.SortedFunc(slices.Values(arrivals), func(a, b Arrival) int { return a.At.Compare(b.At) })
		for i, next := range arrivals[min(1, len(arrivals)):] {
			before := arrivals[i]
			overlap := before.EndedAt.Sub(next.At)
			if before.Executed && next.Executed && overlap > workOverlapLimit && !v.troubled(before) &&
				v.undisturbed(next.At.Add(-disturbanceMargin), next.At.Add(workOverlapLimit)) {
				report(id, "endpoint %s was at work for %s after %s had got the request", before.Endpoint, overlap, next.Endpoint)
			}
		}
	}
}

// impliesNotExecuted reports whether the status promises that the request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func refusalsNotExecuted(v view, report func(AttemptID, string, ...any)) {
	for _, s := range v.Sent {
		if n := executions(v.arrivals(s)); n > 0 && impliesNotExecuted(s.Status) && !routeByID(s.Route).repeatable {
			report(s.AttemptID, "send %d, to process %d of %s, refused with %d and ran %d times", s.Resend+1, s.Start, s.Host, s.Status, n)
		}
	}
}

func answersComplete(v view, report func(AttemptID, string, ...any)) {
	for _, s := range v.Sent {
		if s.Status != http.StatusOK {
			continue
		}
		if !s.Signed {
			report(s.AttemptID, "a success without a signature")
		}
		if !routeByID(s.Route).stream {
			continue
		}
		for i, number := range s.Events {
			if number != i+1 {
				report(s.AttemptID, "events %v", s.Events)
				break
			}
		}
		if want := expectedEvents(s.AttemptID); s.Completed && len(s.Events) != want {
			report(s.AttemptID, "ended as complete after %d of %d events", len(s.Events), want)
		}
	}
}

func answersMatchRequests(v view, report func(AttemptID, string, ...any)) {
	for _, s := range v.Sent {
		if s.Status == http.StatusOK && s.Completed && s.Body != expectedBody(s.AttemptID) && !routeByID(s.Route).stream {
			report(s.AttemptID, "got %q", s.Body)
		}
	}
}

// acceptedRequestsAnswered checks that a request which a host has passed on gets a whole answer or a refusal, also beside
// changes of the configuration, reloads, planned stops and endpoints that fall silent and go on.
func acceptedRequestsAnswered(v view, report func(AttemptID, string, ...any)) {
	for _, s := range v.Sent {
		took := s.EndedAt.Sub(s.SentAt)
		if s.Status != 0 && s.Completed || s.Withdrawn || float64(took) > answerFraction*float64(s.Timeout) || v.hostsDisturbed(s) {
			continue
		}
		arrivals := v.arrivals(s)
		if len(arrivals) > 0 && !slices.ContainsFunc(arrivals, v.troubled) {
			report(s.AttemptID, "reached endpoint %s and ended after %s with status %d and events %v", arrivals[0].Endpoint, took, s.Status, s.Events)
		}
	}
}

// hostsDisturbed reports whether a fault at hosts that is no planned stop overlaps the request.
func (v view) hostsDisturbed(s Sent) bool {
	return slices.ContainsFunc(v.Disturbances, func(d Disturbance) bool {
		return d.Name != stopFault && d.From.Before(s.EndedAt) && d.To.After(s.SentAt)
	})
}

// troubled reports whether a fault at the endpoint may have broken the answer to the arrival.
func (v view) troubled(a Arrival) bool {
	return slices.ContainsFunc(v.Troubles, func(t Trouble) bool {
		return t.Endpoint == a.Endpoint && t.At.Before(a.At.Add(routeTimeout)) && a.At.Before(t.At.Add(troubleTime))
	})
}

func keysMatchOrganisations(v view, report func(AttemptID, string, ...any)) {
	for _, a := range v.Arrivals {
		s, ok := v.sentByID[a.AttemptID]
		if !ok {
			continue
		}
		if a.KeyForwarded {
			report(a.AttemptID, "the key reached endpoint %s", a.Endpoint)
		}
		if want := keyOrganisations[s.Key]; a.Organisation != want || want == "" {
			report(a.AttemptID, "reached endpoint %s for organisation %q, its key is held by %q", a.Endpoint, a.Organisation, want)
		}
	}
}

func revokedKeysRefused(v view, report func(AttemptID, string, ...any)) {
	for _, r := range v.Revocations {
		for _, s := range v.Sent {
			if s.Key == r.Key && s.SentAt.After(r.At.Add(revocationLimit)) && executions(v.arrivals(s)) > 0 {
				report(s.AttemptID, "ran with a key taken away %s before", s.SentAt.Sub(r.At))
			}
		}
	}
}

func usageWithinCaps(v view, report func(AttemptID, string, ...any)) {
	for id, limit := range caps {
		var times []time.Time
		for _, a := range v.Arrivals {
			if a.Executed && a.Organisation == id {
				times = append(times, a.At)
			}
		}
		allowed := int((limit.Rate*usageWindow.Seconds()+limit.Burst)*(1+usageOverrun) + limit.slack)
		if n, at := busiestWindow(times, usageWindow); n > allowed {
			report("", "%s ran %d requests in the window from %s, allowed are %d", id, n, at.Format(time.StampMilli), allowed)
		}
	}
}

// busiestWindow returns the largest number of timestamps within one window, and the start of that window.
func busiestWindow(times []time.Time, window time.Duration) (count int, from time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		if n := i - first + 1; n > count {
			count, from = n, times[first]
		}
	}
	return count, from
}

func drainedEndpointsIdle(v view, report func(AttemptID, string, ...any)) {
	for _, drain := range v.Drains {
		for _, a := range v.Arrivals {
			if a.Endpoint == drain.Endpoint && a.At.After(drain.At.Add(drainLimit)) && v.undisturbed(drain.At.Add(-disturbanceMargin), a.At) {
				report(a.AttemptID, "reached endpoint %s %s after it said that it leaves", a.Endpoint, a.At.Sub(drain.At))
			}
		}
	}
}

// configurationNeverReverts checks per host process, in time order, that no request is handled by an older
// configuration version than one already in use before the request was sent.
func configurationNeverReverts(v view, report func(AttemptID, string, ...any)) {
	type hostProcess struct {
		host  dotterelpulley.HostID
		start int
	}
	type versionEvent struct {
		attempt AttemptID
		at      time.Time
		version int64
		// inUse marks the time from which the version was in use; without it, at is when the request was sent.
		inUse bool
	}
	byProcess := map[hostProcess][]versionEvent{}
	for _, s := range v.Sent {
		for _, a := range v.arrivals(s) {
			if a.Version == 0 {
				continue
			}
			process := hostProcess{s.Host, s.Start}
			byProcess[process] = append(byProcess[process],
				versionEvent{s.AttemptID, s.SentAt, a.Version, false}, versionEvent{s.AttemptID, a.At.Add(configurationSlack), a.Version, true})
		}
	}
	for _, events := range byProcess {
		slices.SortFunc(events, func(a, b versionEvent) int { return a.at.Compare(b.at) })
		newest := versionEvent{}
		for _, event := range events {
			switch {
			case event.inUse && event.version > newest.version:
				newest = event
			case !event.inUse && event.version < newest.version:
				report(event.attempt, "handled by version %d, %s before by %d", event.version, newest.attempt, newest.version)
			}
		}
	}
}

func repeatsWithinBudget(v view, report func(AttemptID, string, ...any)) {
	repeats := map[dotterelpulley.ServiceID][]time.Time{}
	// A caller's own resend is a new request.
	for _, arrivals := range v.arrivalsBySend {
		slices.SortFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
		for _, a := range arrivals[1:] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
		}
	}
	for service, times := range repeats {
		n, from := busiestWindow(times, budgetWindow)
		requests := 0
		for _, s := range v.Sent {
			if routeByID(s.Route).service == service && s.SentAt.After(from.Add(-budgetWindow)) && s.SentAt.Before(from.Add(budgetWindow)) {
				requests++
			}
		}
		if allowed := int(budgetRatio*float64(requests) + budgetExtra); n > allowed {
			report("", "%d repeats to %s in a window, %d allowed", n, service, allowed)
		}
	}
}

func servesAfterRecovery(v view, report func(AttemptID, string, ...any)) {
	sent, served := 0, 0
	for _, s := range v.Sent {
		if s.SentAt.Before(v.Recovered) || !neverRevoked(s.Key) {
			continue
		}
		sent++
		if s.Status == http.StatusOK && s.Completed {
			served++
		}
	}
	if float64(served) < minServedFraction*float64(sent) || sent == 0 {
		report("", "%d of %d requests served after the recovery", served, sent)
	}
}
