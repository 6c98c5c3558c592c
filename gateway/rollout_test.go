package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
)

// Guards against hosts that don't read the store, and would go on sending to any version without the order.
func TestRolloutOrdersReachAllHosts(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	hosts := startHosts(s, 4)
	put := func(key, order string) { s.store.Put(platform.OperatorsTopic, key, []byte(order)) }
	inForce := func(service dotterelpulley.ServiceID, want dotterelpulley.VersionID) {
		for _, g := range hosts {
			s.waitFor("the order is known", func() bool {
				o, ok := g.rollouts.get(service)
				return ok == (want != "") && o.Target == want
			})
		}
	}
	put("rollout/plain", `{"service":"plain","target":"v2","duration_s":12}`)
	put("rollout/model", `{"service":"model","target":"v7","duration_s":3}`)
	inForce("plain", "v2")
	inForce("model", "v7")
	put("rollout/plain", `{"service":"model","target":"v3","duration_s":12}`)
	put("rollout/model", `{"service":"model","target":"v8","duration_s":3}`)
	inForce("model", "v8")
	inForce("plain", "v2")
	for _, g := range hosts {
		s.waitFor("the unreadable order is counted", func() bool { return g.metrics.counts.Get("rollout-orders-unreadable") == 1 })
	}
	put("rollout/plain", "")
	inForce("plain", "")
	o, _ := hosts[0].rollouts.get("model")
	s.Assert(o.Duration, qt.Equals, 3*time.Second)
}

// A host that has restarted holds no order and gets those that were given before.
func TestARestartedHostGetsTheOrdersInForce(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.store.Put(platform.OperatorsTopic, "rollout/plain", []byte(`{"service":"plain","target":"v2","duration_s":12}`))
	s.endpoint("i-1", "plain", answerHello)
	startHosts(s, 3)
	late := s.startReadyGateway()
	s.waitFor("the order is known", func() bool {
		_, ok := late.rollouts.get("plain")
		return ok
	})
}
