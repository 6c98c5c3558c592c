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
)

// together returns hosts that know each other.
func together(s *site, count int) []*Gateway {
	for range count {
		s.gateway()
	}
	s.until("the hosts know each other", func() bool {
		return !slices.ContainsFunc(s.gateways, func(g *Gateway) bool {
			live := g.peers.live(time.Now())
			return len(live) != count-1 || slices.ContainsFunc(live, func(m announcer.Member) bool { return m.State != announcer.Serving })
		})
	})
	return s.gateways
}

func addresses(s *site, g *Gateway) []dotterelpulley.Address {
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
	s.configure(1, 1000)
	began, release := make(chan struct{}), make(chan struct{})
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		close(began)
		<-release
		hello(w, r, n)
	})
	hosts := together(s, 3)
	all := []dotterelpulley.Address{hosts[0].settings.CallerAddress, hosts[1].settings.CallerAddress, hosts[2].settings.CallerAddress}
	s.Assert(addresses(s, hosts[0]), qt.DeepEquals, all)

	got := make(chan answer, 1)
	r := s.request(context.Background(), hosts[1], http.MethodPost, "/call/", "book")
	go func() { got <- s.send(r) }()
	<-began
	drained := make(chan struct{})
	go func() {
		hosts[1].Drain(context.Background())
		close(drained)
	}()
	rest := []dotterelpulley.Address{all[0], all[2]}
	for _, g := range hosts {
		s.until("the host is out of the directory", func() bool { return slices.Equal(addresses(s, g), rest) })
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
	case <-time.After(conditionLimit):
		s.Fatal("not drained after its last request")
	}
}

func TestHostsThatDoNotReadTheStoreLearnFromThoseThatDo(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	s.endpoint("i-1", "plain", hello)
	hosts := together(s, 4)
	readers := 0
	for _, g := range hosts {
		if g.designated(time.Now()) {
			readers++
		}
	}
	s.Assert(readers, qt.Equals, 2)
	s.configure(2, 1000)
	late := s.endpoint("i-2", "plain", hello)
	for _, g := range hosts {
		s.until("the version is in force", func() bool { return g.table.Load().Version == 2 })
		s.until("the endpoint is known", func() bool {
			g.endpoints.mutex.Lock()
			defer g.endpoints.mutex.Unlock()
			return len(g.endpoints.byID) == 2
		})
	}
	s.Assert(late.Received(), qt.HasLen, 0)
}

func TestAReaderThatLostTheStoreIsReplaced(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	s.endpoint("i-1", "plain", hello)
	hosts := together(s, 3)
	reader := slices.IndexFunc(hosts, func(g *Gateway) bool { return g.designated(time.Now()) })
	// The store refuses this host only, for a while that the others have to notice.
	began := time.Now()
	hosts[reader].reading.failed(began)
	hosts[reader].reading.failed(began.Add(lostAfter))
	s.until("another host reads in its place", func() bool {
		others := slices.Delete(slices.Clone(hosts), reader, reader+1)
		return !hosts[reader].reading.isLost(time.Now()) ||
			!slices.ContainsFunc(others, func(g *Gateway) bool { return !g.designated(time.Now()) })
	})
	s.configure(2, 1000)
	for _, g := range hosts {
		s.until("the version is in force", func() bool { return g.table.Load().Version == 2 })
	}
}

func TestUseIsCountedOverAllHosts(t *testing.T) {
	s := newSite(t)
	s.configure(1, 5)
	s.endpoint("i-1", "plain", hello)
	hosts := together(s, 2)
	hosts[0].mutex.Lock()
	hosts[0].rations.Refund("t1", -100)
	hosts[0].mutex.Unlock()
	s.until("the other host has heard of the use", func() bool {
		hosts[1].mutex.Lock()
		defer hosts[1].mutex.Unlock()
		level, ok := hosts[1].rations.Level(time.Now(), "t1")
		return ok && level < 0
	})
}

func TestAnAddressThatAnotherEndpointHasIsNotTriedOnAndOn(t *testing.T) {
	s := newSite(t)
	s.configure(1, 1000)
	moved := s.endpoint("i-1", "plain", func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	s.endpoint("i-2", "plain", hello)
	g := s.gateway()
	s.until("both endpoints are known", func() bool {
		g.endpoints.mutex.Lock()
		defer g.endpoints.mutex.Unlock()
		return len(g.endpoints.byID) == 2
	})
	s.saved(g, 20)
	for range 10 {
		s.Assert(s.post(g, "/call/", "book").status, qt.Equals, http.StatusOK)
	}
	s.Assert(len(moved.Received()) <= 1, qt.IsTrue)
}
