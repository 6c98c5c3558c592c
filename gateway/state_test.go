package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/describer"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

func TestStateEndpointDescribesTheHost(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(3, 100)
	s.endpoint("e1", "plain", answerHello)
	first, second := s.startReadyGateway(), s.startReadyGateway()
	first.peers.addHost(second.peers.self())
	s.waitFor("the hosts have heard each other", func() bool { return first.peers.knownHosts() == 2 })
	s.Assert(s.get(first, "/lookup/").status, qt.Equals, http.StatusOK)
	response, err := http.Get("http://" + string(first.metricsAddress()) + statePath)
	s.Assert(err, qt.IsNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	s.Assert(err, qt.IsNil)
	h, err := describer.Decode(data)
	s.Assert(err, qt.IsNil)
	s.Check(h.ID, qt.Equals, first.settings.Host)
	s.Check(h.State, qt.Equals, "serving")
	s.Check(h.Configuration, qt.Equals, int64(3))
	s.Check(h.SinceConfirmed > 0, qt.IsTrue)
	s.Assert(h.Members, qt.HasLen, 1)
	s.Check(h.Members[0].ID, qt.Equals, second.settings.Host)
	s.Assert(h.Endpoints, qt.HasLen, 1)
	s.Check(string(h.Endpoints[0].ID), qt.Equals, "e1")
	s.Assert(h.Caps, qt.HasLen, 1)
	s.Check(h.Caps[0].Allowed > 0, qt.IsTrue)
	s.Assert(h.RetryBudgets, qt.HasLen, 1)
	s.Check(string(h.RetryBudgets[0].Service), qt.Equals, "plain")
	s.Check(h.RetryBudgets[0].Burst > 0, qt.IsTrue)
}

func TestEndpointThatRefusesConnectionsIsReportedToOtherHosts(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 100)
	dead := s.endpoint("e1", "plain", answerHello)
	g := s.startReadyGateway()
	dead.Close()
	ctx, leave := context.WithCancel(context.Background())
	var caller conc.WaitGroup
	caller.Go(func() { s.send(s.request(ctx, g, http.MethodPost, "/call/x", "")) })
	s.waitFor("the endpoint is reported dead", func() bool {
		var report scheduler.HostReport
		g.queue.access(func(now time.Time, s *scheduler.Scheduler) { report = s.HostReport(now) })
		return slices.Equal(report.DeadEndpoints, []uint32{scheduler.EndpointKey("e1")})
	})
	leave()
	caller.Wait()
}
