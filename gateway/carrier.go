package gateway

import (
	"errors"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/connector"
)

// carrierOf returns the connection of an exchange or of its failure; zero if there was none.
func carrierOf(exchange *connector.Exchange, err error) connector.Carrier {
	if exchange != nil {
		return exchange.Carrier
	}
	var failure *connector.ExchangeError
	if errors.As(err, &failure) {
		return failure.Carrier
	}
	return connector.Carrier{}
}

// noteCarrier records on which connection the attempt was made.
func (p *proxiedRequest) noteCarrier(a *attempt, c connector.Carrier) {
	a.carrier = c
	if c.Strays > 0 {
		p.gateway.metrics.Add("stray-answers", c.Strays)
	}
	if c.PassedOver {
		p.gateway.metrics.Inc("connections-passed-over")
	}
}

// logCarrier adds the connection of an attempt to a line of the log.
func logCarrier(e *log.Entry, c connector.Carrier) *log.Entry {
	return e.Uint64("connection", uint64(c.Connection)).Int("carried", c.Earlier).Bool("passed-over", c.PassedOver).Int("strays", c.Strays)
}
