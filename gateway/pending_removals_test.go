package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/registrar"
)

// A host that was cut off kept an endpoint that had left meanwhile, although the other hosts had read the store all the time.
func TestAHostThatWasCutOffAsksOthersWhetherTheStoreWasOut(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	other := s.startReadyGateway()
	s.waitFor("the other host has read for longer than the cut", func() bool {
		c := other.registry.contact()
		return c.Until.Sub(c.Since) >= 3*time.Second
	})
	left := registrar.Record{Registration: registrar.Registration{
		Endpoint: dotterelpulley.Endpoint{ID: "i-2", Service: "plain", Address: "127.0.0.1:9", State: dotterelpulley.EndpointLive},
	}}
	cutOffAt := time.Now().Add(-2 * time.Second)
	s.onStart = func(g *Gateway) {
		g.registry.ApplyStore(cutOffAt, registrar.Batch{Era: 1, Complete: true, Records: []registrar.Record{left}})
	}
	back := s.startReadyGateway()
	s.waitFor("the outage is refuted", func() bool { return back.metrics.counts.Get("outages-refuted") > 0 })
	s.Assert(back.metrics.counts.Get("endpoints-kept"), qt.Equals, int64(1))
	s.waitFor("the endpoint is gone", func() bool {
		list := registrations(back)
		return len(list) == 1 && list[0].ID == "i-1"
	})
}
