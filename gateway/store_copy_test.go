package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/relayer"
)

// A store that returns from a copy lacks what was written last: the configuration in force is newer than the store's, and
// its offsets stand for other records from then on.
func TestHostsKeepTheirConfigurationWhenTheStoreReturnsFromACopy(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	hosts := startHosts(s, 3)
	backup := s.store.Copy()
	s.publishConfiguration(5, 1000)
	s.publishConfiguration(6, 1000)
	inForce := func(version int64) {
		for _, g := range hosts {
			s.waitFor("the version is in force", func() bool { return g.configurationVersion() == version })
		}
	}
	inForce(6)
	for era := range 2 {
		s.store.Restore(backup)
		for _, g := range hosts {
			s.waitFor("the host knows the era", func() bool { return int(g.store.Era()) == 2+era })
			s.Assert(g.configurationVersion() >= 6, qt.IsTrue)
		}
		s.publishConfiguration(7+era, 1000)
		inForce(int64(7 + era))
	}
}

func TestHostsRegisterAgainWhenTheStoreReturnsFromACopy(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	empty := s.store.Copy()
	s.endpoint("i-1", "plain", answerHello)
	hosts := startHosts(s, 3)
	s.store.Restore(empty)
	for _, g := range hosts {
		s.waitFor("the host is registered", func() bool {
			return slices.ContainsFunc(s.store.Records(platform.HostsTopic), func(r platform.Record) bool { return r.Key == string(g.settings.Host) })
		})
	}
}

func TestEndpointsMissingFromACopyAreUsedUntilTheyRegisterAgain(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	before := s.store.Copy()
	e := s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	s.store.Restore(before)
	s.waitFor("the host knows the era", func() bool { return g.store.Era() == 2 })
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
	e.Register(s.store, "ready")
	s.waitFor("the grace is over", func() bool {
		g.registry.mutex.Lock()
		defer g.registry.mutex.Unlock()
		return len(g.registry.Registrations()) == 1
	})
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusOK)
}

// Guards against a key that was withdrawn just before the copy: the store's old configuration still lists it, and reading
// that must not count as proof that nothing was withdrawn.
func TestOperatorsRecordsOfACopyProveNothingForAWhile(t *testing.T) {
	c := qt.New(t)
	var guard copyGuard
	now := time.Unix(1_700_000_000, 0)
	c.Assert(guard.complete(now), qt.IsTrue, qt.Commentf("a store that names no era returns from no copy"))
	c.Assert(guard.observe(now, 3), qt.IsFalse, qt.Commentf("the first era that a host sees is no return that it has to act on"))
	c.Assert(guard.complete(now.Add(rewriteGrace-1)), qt.IsFalse, qt.Commentf("the store may have returned just before"))
	c.Assert(guard.complete(now.Add(rewriteGrace)), qt.IsTrue)
	guard.noteRecorded(3)
	c.Assert(guard.complete(now), qt.IsTrue)
	c.Assert(guard.observe(now, 4), qt.IsTrue)
	c.Assert(guard.observe(now, 4), qt.IsFalse)
	c.Assert(guard.complete(now.Add(rewriteGrace-1)), qt.IsFalse)
	c.Assert(guard.complete(now.Add(rewriteGrace)), qt.IsTrue)
	c.Assert(guard.observe(now.Add(time.Hour), 5), qt.IsTrue)
	c.Assert(guard.complete(now.Add(time.Hour)), qt.IsFalse, qt.Commentf("a second return"))
	c.Assert(guard.observe(now, 4), qt.IsFalse, qt.Commentf("an era that comes late"))
	guard.noteRecorded(4)
	c.Assert(guard.complete(now.Add(time.Hour)), qt.IsFalse, qt.Commentf("the record of an earlier era"))
	guard.noteRecorded(6)
	c.Assert(guard.complete(now.Add(time.Hour)), qt.IsFalse, qt.Commentf("this host's records are those of the era before"))
	c.Assert(guard.observe(now.Add(time.Hour), 6), qt.IsTrue)
	c.Assert(guard.complete(now.Add(time.Hour)), qt.IsTrue)
}

// A key that was taken away was served again by hosts that all started while the store, back from a copy, lacked the withdrawal.
func TestHostsThatStartAfterACopyServeNoKeyThatWasTakenAway(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	e := s.endpoint("i-1", "plain", answerHello)
	backup := s.store.Copy()
	withdrawn := strings.Replace(fmt.Sprintf(siteConfiguration, 2, 1000, 1000), `"api_keys":["k1"]`, `"api_keys":["k2"]`, 1)
	s.store.Put(platform.OperatorsTopic, platform.ConfigurationKey, []byte(withdrawn))
	for _, g := range startHosts(s, 2) {
		s.waitFor("the withdrawal is in force", func() bool { return s.get(g, "/lookup/").status == http.StatusUnauthorized })
	}
	for len(s.gateways) > 0 {
		s.stopGateway(s.gateways[0])
	}
	s.store.Restore(backup)
	g := s.startGateway()
	s.waitFor("the host has the older configuration", func() bool { return g.configurationVersion() == 1 })
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusServiceUnavailable)
	s.store.Put(platform.OperatorsTopic, platform.ConfigurationKey, []byte(withdrawn))
	s.waitFor("the host is ready", func() bool {
		s.Assert(s.get(g, "/lookup/").status, qt.Not(qt.Equals), http.StatusOK)
		return g.ready(time.Now())
	})
	s.Assert(s.get(g, "/lookup/").status, qt.Equals, http.StatusUnauthorized)
	s.Assert(e.Received(), qt.HasLen, 0)
	s.waitFor("the era is recorded for hosts that start later", func() bool {
		return slices.ContainsFunc(s.store.Records(platform.ErasTopic), func(r platform.Record) bool { return string(r.Value) == "2" })
	})
}

// Guards against hosts that stay behind as long as their readers can't reach the store (readers-lost on papanbilik-kl, seed
// 967514295843: version 146 was in use two seconds after 150 was accepted).
func TestOneHostWithANewerConfigurationIsEnough(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	hosts := startHosts(s, 4)
	// The store still has the old one, so that nothing comes through the readers.
	informed := slices.IndexFunc(hosts, func(g *Gateway) bool { return !g.isReader(time.Now()) })
	hosts[informed].applyConfiguration(fmt.Appendf(nil, siteConfiguration, 2, 1000, 1000), -1)
	for _, g := range hosts {
		s.waitFor("the version is in force", func() bool { return g.configurationVersion() == 2 })
	}
}

// Guards against followers that wait for a reader which waits for the store: such a reader was noticed 2.6 s after it was
// cut off, by the age of its answers.
func TestAReaderWhoseCallIsOverdueIsLeftAtOnce(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	hosts := startHosts(s, 3)
	reader := slices.IndexFunc(hosts, func(g *Gateway) bool { return g.isReader(time.Now()) })
	answer := hosts[reader].answerFollower(t.Context(), followQuery(hosts[reader]))
	s.Assert(answer.StoreLost, qt.IsFalse)
	s.store.SetFailureStatus(http.StatusServiceUnavailable)
	hosts[reader].noteStoreOverdue()
	answer = hosts[reader].answerFollower(t.Context(), followQuery(hosts[reader]))
	s.Assert(answer.StoreLost, qt.IsTrue)
	follower := slices.IndexFunc(hosts, func(g *Gateway) bool { return g != hosts[reader] })
	s.waitFor("the other hosts know", func() bool {
		hosts[reader].noteStoreOverdue()
		return !slices.ContainsFunc(hosts[follower].otherReaders(time.Now()), isHost(hosts[reader]))
	})
}

// A reader that had just started, and had read the operators' records alone, made its followers drop all endpoints.
func TestAReaderThatHasYetToReadTheEndpointsTellsNoListOfThem(t *testing.T) {
	c := qt.New(t)
	g := New(platform.Settings{Host: "host-1", StoreAddress: "127.0.0.1:9"}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	defer func() { c.Assert(g.Close(), qt.IsNil) }()
	g.freshness.confirm(sinceBoot())
	c.Assert(g.answerFollower(t.Context(), relayer.FollowRequest{}).AgeKnown, qt.IsFalse)
	g.applyStoreRecords(time.Now(), topicRecords{complete: true, era: 1, next: 1})
	c.Assert(g.answerFollower(t.Context(), relayer.FollowRequest{}).AgeKnown, qt.IsTrue)
}
