package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/connector"
)

const (
	// headerArrivals says which endpoints a request has reached: before it was forwarded, in a forwarded request; in total, in the
	// answer to one.
	headerArrivals = "Dotterel-Arrivals"
	// maxToldArrivals limits the arrivals that another host can name.
	maxToldArrivals = 64
)

// endpointArrivals are the arrivals of one request at endpoints; the zero value is none.
type endpointArrivals struct {
	count int
	// endpoints are those that don't get the request again; not all arrivals have one.
	endpoints []dotterelpulley.EndpointID
}

// encode returns the number of arrivals, followed by the endpoints.
func (a endpointArrivals) encode() string {
	text := strconv.Itoa(a.count)
	for _, id := range a.endpoints {
		if isWord(string(id)) {
			text += " " + string(id)
		}
	}
	return text
}

// isWord reports whether the text can be told from what surrounds it in a header.
func isWord(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) })
}

// decodeArrivals returns the arrivals that another host names in its headers; false if it names none, as an earlier build.
func decodeArrivals(h http.Header) (endpointArrivals, bool) {
	words := strings.Fields(h.Get(headerArrivals))
	if len(words) == 0 || len(words) > maxToldArrivals+1 {
		return endpointArrivals{}, false
	}
	n, err := strconv.Atoi(words[0])
	if err != nil || n < len(words)-1 || n > maxToldArrivals {
		return endpointArrivals{}, false
	}
	a := endpointArrivals{count: n}
	for _, id := range words[1:] {
		a.endpoints = append(a.endpoints, dotterelpulley.EndpointID(id))
	}
	return a, true
}

// noteArrival counts the arrival of the request at the attempt's endpoint, to which this host has sent it.
func (p *proxiedRequest) noteArrival(a attempt) {
	if a.arrived {
		return
	}
	p.gateway.metrics.Inc("arrivals")
	if p.arrivals.count > 0 {
		p.gateway.metrics.Inc("arrivals-again")
	}
	p.arrivals.count++
	p.arrivals.endpoints = append(p.arrivals.endpoints, a.Endpoint.ID)
}

// noteUnknownArrival counts the arrival of a request that may have been sent, and has no answer.
func (p *proxiedRequest) noteUnknownArrival(a attempt) {
	if a.throughHost() {
		p.noteArrivalsElsewhere(nil)
		return
	}
	p.noteArrival(a)
}

// without returns the arrivals without the endpoint's id.
func (a endpointArrivals) without(id dotterelpulley.EndpointID) endpointArrivals {
	a.endpoints = slices.DeleteFunc(slices.Clone(a.endpoints), func(other dotterelpulley.EndpointID) bool { return other == id })
	return a
}

// markAnswer names the arrivals in the answer to a forwarded request, which carries no header of the endpoint's that only hosts send.
func (p *proxiedRequest) markAnswer(exchange *connector.Exchange) {
	if !p.origin.forwarded {
		return
	}
	for _, name := range []string{headerRefusal, headerProof, headerArrivals} {
		exchange.Header.Del(name)
	}
	p.response.writer.Header().Set(headerArrivals, p.arrivals.encode())
}

// noteArrivalsElsewhere adopts the arrivals that the host names through which the request went, and reports whether it names
// any. A host that names none, or whose answer was lost, has sent the request to one endpoint or more.
func (p *proxiedRequest) noteArrivalsElsewhere(exchange *connector.Exchange) (named bool) {
	told := endpointArrivals{}
	if exchange != nil {
		told, named = decodeArrivals(exchange.Header)
		exchange.Header.Del(headerArrivals)
	}
	if !named || told.count < p.arrivals.count {
		told = p.arrivals
		told.count++
		named = false
	}
	p.attempts += told.count - p.arrivals.count
	p.arrivals = told
	p.exclude(told.endpoints)
	return named
}

// exclude keeps the request from the endpoints.
func (p *proxiedRequest) exclude(endpoints []dotterelpulley.EndpointID) {
	for _, id := range endpoints {
		p.excluded[id] = true
	}
}
