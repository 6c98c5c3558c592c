package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/promoter"
	"github.com/dotterelpulley/dotterelpulley/relayer"
)

// order writes an operator's order to move the plain service to v2.
func (s *site) order() {
	s.store.Put(platform.OperatorsTopic, "rollout/plain", []byte(`{"service":"plain","target":"v2","duration_s":60}`))
}

// targetEndpoint starts an endpoint of v2.
func (s *site) targetEndpoint(id string, handler standin.Handler) *standin.Endpoint {
	e := standin.StartEndpoint(dotterelpulley.EndpointID(id), "plain", handler)
	s.TB.(*testing.T).Cleanup(e.Close)
	e.Version = "v2"
	e.Register(s.store, "ready")
	return e
}

// status returns the newest status in the store.
func (s *site) status() (dotterelpulley.RolloutStatus, bool) {
	records := s.store.Records(platform.StatusTopic)
	if len(records) == 0 {
		return dotterelpulley.RolloutStatus{}, false
	}
	status, err := platform.DecodeRolloutStatus(records[len(records)-1])
	s.Assert(err, qt.IsNil)
	return status, true
}

func (s *site) waitForStatus(state dotterelpulley.RolloutState) {
	s.waitFor("the status is "+state.String(), func() bool {
		status, ok := s.status()
		return ok && status.State == state && status.Target == "v2"
	})
}

func (s *site) waitForEndpoints(count int) {
	for _, g := range s.gateways {
		s.waitFor("all endpoints are known", func() bool { return len(registrations(g)) == count })
	}
}

func (s *site) waitForStage(stage promoter.Stage) {
	for _, g := range s.gateways {
		s.waitFor("the stage is "+stage.String(), func() bool {
			g.promotions.mutex.Lock()
			defer g.promotions.mutex.Unlock()
			c, ok := g.promotions.promoter.Rollout("plain")
			return ok && c.Stage == stage
		})
	}
}

// Guards against a bad version that gets as many requests as the one in force, without a status for the operator.
func TestABadVersionOfAnOrderIsTakenBack(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 100_000)
	s.endpoint("i-1", "plain", answerHello)
	s.endpoint("i-2", "plain", answerHello)
	hosts := startHosts(s, 3)
	sent := 0
	call := func() {
		s.post(hosts[sent%len(hosts)], "/call/", "book")
		sent++
	}
	for range 60 {
		call()
	}
	s.order()
	for _, g := range hosts {
		s.waitFor("the order is known", func() bool {
			_, ok := g.rollouts.get("plain")
			return ok
		})
	}
	bad := s.targetEndpoint("i-3", func(w http.ResponseWriter, _ *http.Request, _ int) {
		standin.SignResponse(w)
		w.WriteHeader(http.StatusInternalServerError)
	})
	s.waitForEndpoints(3)
	sent = 0
	s.waitFor("the version is taken back", func() bool {
		call()
		s.Assert(float64(len(bad.Received())) <= exposureShare*float64(sent)+exposureSlack, qt.IsTrue)
		status, ok := s.status()
		return ok && status.State == dotterelpulley.RolloutRolledBack
	})
	s.waitForStage(promoter.RolledBack)
	s.Assert(len(bad.Received()) > 0, qt.IsTrue)
	before := len(bad.Received())
	for range 60 {
		call()
	}
	s.Assert(bad.Received(), qt.HasLen, before)
}

// Guards against hosts that go back to stopped endpoints after all of them have restarted.
func TestACompletedRolloutHoldsAfterAllHostsHaveRestarted(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.order()
	s.store.Put(platform.StatusTopic, "rollout/plain", []byte(`{"service":"plain","target":"v2","state":"completed"}`))
	old := s.endpoint("i-1", "plain", answerHello)
	target := s.targetEndpoint("i-2", answerHello)
	hosts := startHosts(s, 3)
	s.waitForStage(promoter.Completed)
	s.waitForEndpoints(2)
	before := len(old.Received())
	for i := range 12 {
		s.Assert(s.post(hosts[i%3], "/call/", "book").status, qt.Equals, http.StatusOK)
	}
	s.Assert(old.Received(), qt.HasLen, before)
	s.Assert(len(target.Received()) >= 12, qt.IsTrue)
}

// Guards against an order whose age nobody knows being carried out beyond its time limit.
func TestAnOrderOfUnknownAgeIsTakenBack(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.order()
	s.endpoint("i-1", "plain", answerHello)
	target := s.targetEndpoint("i-2", answerHello)
	hosts := startHosts(s, 2)
	s.waitForEndpoints(2)
	s.writeAgain("i-1")
	s.waitForStatus(dotterelpulley.RolloutRolledBack)
	s.waitForStage(promoter.RolledBack)
	for i := range 12 {
		s.Assert(s.post(hosts[i%2], "/call/", "book").status, qt.Equals, http.StatusOK)
	}
	s.Assert(target.Received(), qt.HasLen, 0)
}

// Guards against a host that was frozen and completes on what it knew before another host has taken the version back.
func TestAHostWithOldKnowledgeCannotCompleteARollout(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.order()
	s.waitForStatus(dotterelpulley.RolloutInProgress)
	var stale statusWriter
	s.Assert(g.syncStatuses(context.Background(), &stale), qt.IsNil)
	s.store.Put(platform.StatusTopic, "rollout/plain", []byte(`{"service":"plain","target":"v2","state":"rolled_back"}`))
	g.promotions.mutex.Lock()
	unfinished := g.promotions.promoter.Unfinished()
	g.promotions.mutex.Unlock()
	s.Assert(g.writeStatuses(&stale, 0, unfinished), qt.IsNotNil)
	stale.synced = false
	s.Assert(g.syncStatuses(context.Background(), &stale), qt.IsNil)
	s.waitForStage(promoter.RolledBack)
	status, _ := s.status()
	s.Assert(status.State, qt.Equals, dotterelpulley.RolloutRolledBack)
}

// Guards against endpoints that are added some time after a completion, under another version, getting no requests for good.
func TestVersionsAreForgottenSomeTimeAfterACompletion(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 100_000)
	s.endpoint("i-1", "plain", answerHello)
	s.targetEndpoint("i-2", answerHello)
	g := s.startReadyGateway()
	s.order()
	s.waitForStatus(dotterelpulley.RolloutInProgress)
	s.waitForEndpoints(2)
	// The completion became known nearly as long ago as versions matter.
	const left = time.Second
	known := time.Now().Add(left - 30*time.Second)
	var change promoter.Change
	s.waitFor("the host has seen its own status and takes the outcome", func() bool {
		g.promotions.mutex.Lock()
		defer g.promotions.mutex.Unlock()
		var advanced bool
		change, advanced = g.promotions.promoter.Stored(known, dotterelpulley.RolloutStatus{Service: "plain", Target: "v2", State: dotterelpulley.RolloutCompleted}, promoter.Number{})
		return advanced
	})
	g.applyStage(known, change)
	other := s.endpoint("i-3", "plain", answerHello)
	s.waitForEndpoints(3)
	s.waitFor("the other version gets requests", func() bool {
		s.post(g, "/call/", "book")
		return len(other.Received()) > 0
	})
}

// Guards against a target that gets its share of requests that are refused or withdrawn, and more than that of those that are run.
func TestRequestsThatReachNoEndpointDoNotRaiseTheTargetsShare(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 100_000)
	release := make(chan struct{})
	old := s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, attempt int) {
		<-release
		answerHello(w, r, attempt)
	})
	s.TB.(*testing.T).Cleanup(func() { close(release) })
	target := s.targetEndpoint("i-2", answerHello)
	g := s.startReadyGateway()
	s.order()
	s.waitForStage(promoter.Canary)
	s.waitForEndpoints(2)
	requests := make(chan *http.Request)
	var callers sync.WaitGroup
	for range 32 {
		callers.Go(func() {
			for r := range requests {
				// The caller leaves before its request has waited long for an endpoint.
				ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
				if response, err := http.DefaultTransport.RoundTrip(r.WithContext(ctx)); err == nil {
					_ = response.Body.Close()
				}
				cancel()
			}
		})
	}
	for range 3200 {
		requests <- s.request(context.Background(), g, http.MethodPost, "/lookup/", "book")
	}
	close(requests)
	callers.Wait()
	reached := len(old.Received()) + len(target.Received())
	s.Assert(float64(len(target.Received())) <= exposureShare*float64(reached)+exposureSlack, qt.IsTrue,
		qt.Commentf("%d of %d requests that reached an endpoint", len(target.Received()), reached))
}

// Guards against a version that was taken back getting requests again once another one is ordered.
func TestAVersionThatWasTakenBackGetsNothingBesideTheNextOrder(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 100_000)
	s.endpoint("i-1", "plain", answerHello)
	bad := s.targetEndpoint("i-2", answerHello)
	g := s.startReadyGateway()
	s.order()
	s.waitForStage(promoter.Canary)
	s.waitForEndpoints(2)
	g.promotions.mutex.Lock()
	change, _ := g.promotions.promoter.TakeBack(time.Now(), "plain", "bad")
	g.promotions.mutex.Unlock()
	g.applyStage(time.Now(), change)
	before := len(bad.Received())
	s.store.Put(platform.OperatorsTopic, "rollout/plain", []byte(`{"service":"plain","target":"v3","duration_s":60}`))
	s.waitFor("the next order is known", func() bool {
		o, ok := g.rollouts.get("plain")
		return ok && o.Target == "v3"
	})
	for range 40 {
		s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusOK)
	}
	s.Assert(bad.Received(), qt.HasLen, before)
}

// Guards against a roll-out that is taken back because a host hears of the withdrawal of an earlier order after the order.
func TestTheWithdrawalOfAnEarlierOrderLeavesTheNextOneInForce(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 100_000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.store.Put(platform.OperatorsTopic, "rollout/plain", []byte(`{"service":"plain","target":"v9","duration_s":60}`))
	s.waitForStage(promoter.Canary)
	g.promotions.mutex.Lock()
	before, _ := g.promotions.promoter.Rollout("plain")
	g.promotions.mutex.Unlock()
	// Another host, which has read both records, tells of the order.
	after := before.Number.Next + 2
	g.learnRollouts(time.Now(), []announcer.Rollout{{
		RolloutOrder: dotterelpulley.RolloutOrder{Service: "plain", Target: "v2", Duration: time.Minute},
		Era:          before.Number.Era, Next: after, Stage: int(promoter.Canary), Remaining: time.Minute,
	}})
	g.applyOrder(relayer.Order{
		Record: relayer.Record{Key: "rollout/plain"}, After: relayer.Position{Era: before.Number.Era, Next: after - 1},
	})
	g.promotions.mutex.Lock()
	defer g.promotions.mutex.Unlock()
	change, _ := g.promotions.promoter.Rollout("plain")
	s.Assert(change.Target, qt.Equals, dotterelpulley.VersionID("v2"))
	s.Assert(change.Stage, qt.Equals, promoter.Canary)
}

// A completed version was rolled back by hosts that all started while the store, back from a copy, held its roll-out as in
// progress and the entries of the version before.
func TestHostsThatStartAfterACopyTakeNoOrderBackThatTheyCannotJudge(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 100_000)
	s.targetEndpoint("i-2", answerHello)
	s.order()
	inProgress := platform.EncodeRolloutStatus(dotterelpulley.RolloutStatus{Service: "plain", Target: "v2", State: dotterelpulley.RolloutInProgress})
	s.store.Put(platform.StatusTopic, inProgress.Key, inProgress.Value)
	ended := s.endpoint("i-1", "plain", answerHello)
	ended.Crash()
	g := s.startGateway()
	s.waitForStage(promoter.Held)
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	s.store.Put(platform.EndpointsTopic, "i-1", nil)
	s.waitFor("requests run on the version that is left", func() bool { return s.post(g, "/call/", "book").status == http.StatusOK })
	status, _ := s.status()
	s.Assert(status.State, qt.Equals, dotterelpulley.RolloutInProgress)

	// Once an endpoint of the version before is seen to run, no outcome has been acted on.
	s.endpoint("i-3", "plain", answerHello)
	s.waitFor("the endpoint is known", func() bool { return len(registrations(g)) == 2 })
	s.writeAgain("i-3")
	s.waitForStatus(dotterelpulley.RolloutRolledBack)
}

// writeAgain writes the endpoint's entry once more, as endpoints do every second or so while they run.
func (s *site) writeAgain(id string) {
	newest := ""
	for _, r := range s.store.Records(platform.EndpointsTopic) {
		if r.Key == id {
			newest = string(r.Value)
		}
	}
	s.store.Put(platform.EndpointsTopic, id, []byte(strings.Replace(newest, `"seq":1`, `"seq":2`, 1)))
}
