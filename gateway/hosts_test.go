package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/relayer"
)

// startHosts returns hosts that know each other.
func startHosts(s *site, count int) []*Gateway {
	for range count {
		s.startReadyGateway()
	}
	s.waitFor("the hosts know each other", func() bool {
		return !slices.ContainsFunc(s.gateways, func(g *Gateway) bool {
			live := g.peers.liveHosts(time.Now())
			return len(live) != count-1 || slices.ContainsFunc(live, func(m announcer.Member) bool { return m.State != announcer.Serving })
		})
	})
	return s.gateways
}

func resolveAddresses(s *site, g *Gateway) []dotterelpulley.Address {
	response, err := http.Get("http://" + string(g.settings.DirectoryAddress) + "/api/resolve?name=h.example&zone=a")
	s.Assert(err, qt.IsNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	s.Assert(err, qt.IsNil)
	var answer struct {
		Addresses []dotterelpulley.Address `json:"addresses"`
	}
	s.Assert(json.Unmarshal(data, &answer), qt.IsNil)
	slices.Sort(answer.Addresses)
	return answer.Addresses
}

func TestADrainingHostLeavesTheDirectoryAndFinishesItsRequests(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	started, release := make(chan struct{}), make(chan struct{})
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		close(started)
		<-release
		answerHello(w, r, n)
	})
	hosts := startHosts(s, 3)
	all := []dotterelpulley.Address{hosts[0].settings.CallerAddress, hosts[1].settings.CallerAddress, hosts[2].settings.CallerAddress}
	s.Assert(resolveAddresses(s, hosts[0]), qt.DeepEquals, all)

	got := make(chan answer, 1)
	r := s.request(context.Background(), hosts[1], http.MethodPost, "/call/", "book")
	go func() { got <- s.send(r) }()
	<-started
	drained := make(chan struct{})
	go func() {
		hosts[1].Drain(context.Background())
		close(drained)
	}()
	rest := []dotterelpulley.Address{all[0], all[2]}
	for _, g := range hosts {
		s.waitFor("the host is removed from the directory", func() bool { return slices.Equal(resolveAddresses(s, g), rest) })
	}
	s.Assert(hosts[1].ready(time.Now()), qt.IsFalse)
	select {
	case <-drained:
		s.Fatal("drained before its request ended")
	default:
	}
	close(release)
	s.Assert((<-got).status, qt.Equals, http.StatusOK)
	select {
	case <-drained:
	case <-time.After(conditionTimeout):
		s.Fatal("not drained after its last request")
	}
}

func TestHostsThatDoNotReadTheStoreFollowReaders(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	hosts := startHosts(s, 4)
	readers := 0
	for _, g := range hosts {
		if g.isReader(time.Now()) {
			readers++
		}
	}
	s.Assert(readers, qt.Equals, 2)
	s.publishConfiguration(2, 1000)
	added := s.endpoint("i-2", "plain", answerHello)
	for _, g := range hosts {
		s.waitFor("the version is in force", func() bool { return g.table.Load().Version == 2 })
		s.waitFor("the endpoint is known", func() bool {
			return len(registrations(g)) == 2
		})
	}
	s.Assert(added.Received(), qt.HasLen, 0)
}

func TestReaderWithoutStoreAccessIsReplaced(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	hosts := startHosts(s, 3)
	reader := slices.IndexFunc(hosts, func(g *Gateway) bool { return g.isReader(time.Now()) })
	// Only this host loses access to the store, long enough for the others to notice.
	began := time.Now()
	hosts[reader].storeAccess.failed(began)
	hosts[reader].storeAccess.failed(began.Add(storeLostThreshold))
	s.waitFor("another host replaces the reader", func() bool {
		others := slices.Delete(slices.Clone(hosts), reader, reader+1)
		return !hosts[reader].storeAccess.isLost(time.Now()) ||
			!slices.ContainsFunc(others, func(g *Gateway) bool { return !g.isReader(time.Now()) })
	})
	s.publishConfiguration(2, 1000)
	for _, g := range hosts {
		s.waitFor("the version is in force", func() bool { return g.table.Load().Version == 2 })
	}
}

func TestUsageIsCountedAcrossHosts(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 5)
	s.endpoint("i-1", "plain", answerHello)
	hosts := startHosts(s, 2)
	hosts[0].mutex.Lock()
	hosts[0].rationer.Refund(time.Now(), time.Now(), "t1", -100)
	hosts[0].mutex.Unlock()
	s.waitFor("the usage is known to the other host", func() bool {
		hosts[1].mutex.Lock()
		defer hosts[1].mutex.Unlock()
		remaining, ok := hosts[1].rationer.Remaining(time.Now(), "t1")
		return ok && remaining < 0
	})
}

func TestAddressOfAnotherEndpointIsNotTriedRepeatedly(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	misdirected := s.endpoint("i-1", "plain", func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	s.endpoint("i-2", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool {
		return len(registrations(g)) == 2
	})
	s.waitForAllowance(g, 20)
	for range 10 {
		s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusOK)
	}
	s.Assert(len(misdirected.Received()) <= 1, qt.IsTrue)
}

func isHost(g *Gateway) func(announcer.Member) bool {
	return func(m announcer.Member) bool { return m.ID == g.settings.Host }
}

// followQuery returns a query of a host that has all of the reader's records, without a wait.
func followQuery(reader *Gateway) relayer.FollowRequest {
	reader.changes.mutex.Lock()
	defer reader.changes.mutex.Unlock()
	return relayer.FollowRequest{
		Incarnation: reader.changes.incarnation, EndpointSequence: reader.changes.records.LastSequence(), Configuration: reader.configurationVersion(),
	}
}

// A host that starts again has forgotten its incarnation, and no clock or disk tells it a higher one.
func TestARestartedHostIsHeardAtOnce(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	hosts := startHosts(s, 2)
	hosts[1].peers.mutex.Lock()
	hosts[1].peers.identity = announcer.Identity{Start: 1, Incarnation: 1}
	hosts[1].peers.mutex.Unlock()
	s.waitFor("the other host knows the new start", func() bool {
		m := hosts[0].peers.liveHosts(time.Now())
		return len(m) == 1 && m[0].Start == 1
	})
}
