package gateway

import (
	"net/http"
	"strconv"

	"github.com/dotterelpulley/dotterelpulley/connector"
)

// headerArrivals is the number of arrivals of a request at endpoints: before it was forwarded, in a forwarded request; in total, in
// a host's own answer to one.
const headerArrivals = "Dotterel-Arrivals"

// maxToldArrivals limits the arrivals that another host can name.
const maxToldArrivals = 1 << 10

// arrivalsIn returns the number of arrivals in the headers of another host; false if it names none, as an earlier build.
func arrivalsIn(h http.Header) (int, bool) {
	n, err := strconv.Atoi(h.Get(headerArrivals))
	if err != nil || n < 0 || n > maxToldArrivals {
		return 0, false
	}
	return n, true
}

// noteArrival counts an arrival of the request at an endpoint that this host has sent it to.
func (p *proxiedRequest) noteArrival() {
	p.gateway.metrics.Inc("arrivals")
	if p.arrivals > 0 {
		p.gateway.metrics.Inc("arrivals-again")
	}
	p.arrivals++
}

// noteArrivalsElsewhere adopts the number of arrivals that the host names through which the request went. A host that names none,
// or whose answer was lost, has sent the request to one endpoint or more.
func (p *proxiedRequest) noteArrivalsElsewhere(exchange *connector.Exchange) {
	if exchange != nil {
		if n, ok := arrivalsIn(exchange.Header); ok {
			p.arrivals = max(p.arrivals, n)
			return
		}
	}
	p.arrivals++
}
