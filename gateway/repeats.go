package gateway

import "time"

// repeats are the retries of one request that its host has taken from the service's budget; the zero value is none.
type repeats struct {
	// reserved means that one has been taken for the next endpoint, sent counts those before.
	reserved bool
	sent     int
}

// reserveRepeat takes a retry for the next endpoint, unless none is due since nothing has arrived yet or the last one didn't, and
// reports whether the request may be sent.
func (p *proxiedRequest) reserveRepeat() bool {
	if p.repeats.reserved || p.repeats.sent >= p.arrivals.count {
		return true
	}
	g := p.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p.repeats.reserved = g.retryBudget.Reserve(time.Now(), p.service)
	return p.repeats.reserved
}

// useRepeat turns the reservation into a retry that is sent.
func (p *proxiedRequest) useRepeat() {
	if !p.repeats.reserved {
		return
	}
	g := p.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.retryBudget.Use(time.Now(), p.service)
	p.repeats.reserved = false
	p.repeats.sent++
	g.metrics.Inc("repeats")
}

// returnRepeat gives back a reservation at the request's end.
func (p *proxiedRequest) returnRepeat() {
	if !p.repeats.reserved {
		return
	}
	g := p.gateway
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.retryBudget.Return(time.Now(), p.service)
	p.repeats.reserved = false
}
