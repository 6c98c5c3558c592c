package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	deadlyPart = "deadbeef"
	firstPart  = "5c1e07a2"
)

// fragileFleet is a site whose endpoints crash as they begin to answer a prompt with the deadly part.
type fragileFleet struct {
	*site
	crashed   atomic.Int64
	lastCrash atomic.Pointer[time.Time]
	requests  int
}

func newFragileFleet(t *testing.T, endpoints int) *fragileFleet {
	f := &fragileFleet{site: newSite(t)}
	f.publishConfiguration(1, 1000)
	for i := range endpoints {
		var e *standin.Endpoint
		ready := make(chan struct{})
		e = f.endpoint(fmt.Sprint("i-", i), "model", func(w http.ResponseWriter, r *http.Request, _ int) {
			if !strings.Contains(r.Header.Get("Dotterelpulley-Prompt-Prefix"), deadlyPart) {
				standin.WriteEvents(w, 1, 3)
				return
			}
			<-ready
			now := time.Now()
			f.crashed.Add(1)
			f.lastCrash.Store(&now)
			e.Crash()
			standin.AbortResponse()
		})
		close(ready)
	}
	return f
}

// ask sends a prompt with a body of its own.
func (f *fragileFleet) ask(g *Gateway, path string, parts ...string) answer {
	f.requests++
	r := f.request(context.Background(), g, http.MethodPost, fmt.Sprint(path, f.requests), fmt.Sprint("body ", f.requests))
	var list []string
	for _, p := range append(parts, fmt.Sprint("own", f.requests)) {
		list = append(list, p+":100")
	}
	r.Header.Set("Dotterelpulley-Prompt-Prefix", strings.Join(list, ","))
	return f.send(r)
}

// askDeadly sends prompts with the deadly part, no two alike, until one is refused.
func (f *fragileFleet) askDeadly(g *Gateway) answer {
	for {
		before := f.crashed.Load()
		a := f.ask(g, []string{"/plan/", "/advice/"}[f.requests%2], firstPart, deadlyPart, fmt.Sprint("other", f.requests))
		if f.crashed.Load() == before {
			return a
		}
		f.waitFor("the next crash is another incident", func() bool { return time.Since(*f.lastCrash.Load()) > 300*time.Millisecond })
		sound := f.ask(g, "/plan/", firstPart)
		f.Assert(sound.status, qt.Equals, http.StatusOK, qt.Commentf("%s", sound.body))
	}
}

func (f *fragileFleet) knows(g *Gateway) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Equal(g.isolations[promptParts].Isolated(time.Now()), []isolator.Part{partOfID(deadlyPart)})
}

// partOfID returns the model service's part with the id.
func partOfID(id string) isolator.Part {
	h := http.Header{"Dotterelpulley-Prompt-Prefix": {id + ":1,x:1"}}
	return suspectsOf(&request{service: "model", RequestMetadata: platform.DecodeRequestMetadata(h)})[promptParts][0]
}

// Guards against endpoints that crash one after the other on requests which share one part of their prompts.
func TestRequestsWithAPartThatCrashesEndpointsAreRefusedOnAllHosts(t *testing.T) {
	f := newFragileFleet(t, 9)
	hosts := startHosts(f.site, 2)
	for _, g := range hosts {
		f.waitFor("the endpoints are known", func() bool { return len(registrations(g)) == 9 })
		f.waitForAllowance(g, 50)
	}
	f.Assert(f.ask(hosts[0], "/plan/", firstPart).status, qt.Equals, http.StatusOK)
	refused := f.askDeadly(hosts[0])
	f.Assert(refused.status, qt.Equals, http.StatusServiceUnavailable)
	f.Assert(refused.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	crashed := f.crashed.Load()
	f.Assert(crashed <= 5, qt.IsTrue, qt.Commentf("%d endpoints crashed", crashed))
	f.waitFor("the other host knows", func() bool { return f.knows(hosts[1]) })
	for _, g := range hosts {
		for _, path := range []string{"/plan/", "/advice/"} {
			f.Assert(f.ask(g, path, firstPart, deadlyPart).status, qt.Equals, http.StatusServiceUnavailable)
			f.Assert(f.ask(g, path, deadlyPart, "more").status, qt.Equals, http.StatusServiceUnavailable)
			f.Assert(f.ask(g, path, firstPart, "other").status, qt.Equals, http.StatusOK)
		}
	}
	f.Assert(f.crashed.Load(), qt.Equals, crashed)
}

// Guards against a part that crashes endpoints anew after all hosts have restarted.
func TestAnIsolatedPartOutlivesARestartOfAllHosts(t *testing.T) {
	f := newFragileFleet(t, 9)
	empty := f.store.Copy()
	g := f.startReadyGateway()
	f.waitFor("the endpoints are known", func() bool { return len(registrations(g)) == 9 })
	f.waitForAllowance(g, 50)
	f.Assert(f.ask(g, "/plan/", firstPart).status, qt.Equals, http.StatusOK)
	f.Assert(f.askDeadly(g).status, qt.Equals, http.StatusServiceUnavailable)
	kept := func() bool {
		records := f.store.Records(platform.IsolationsTopic)
		return len(records) > 0 && len(records[len(records)-1].Value) > 0
	}
	f.waitFor("the part is kept", kept)
	f.store.Restore(empty)
	f.waitFor("the part is kept again", kept)
	g.cancel()
	other := f.startGateway()
	f.waitFor("the host has read the part", func() bool { return f.knows(other) })
}

// Guards against a request that goes on crashing endpoints through hosts of a large fleet that were never told of its crashes.
func TestACrashThatAnotherHostReportsIsPassedOnOnce(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	crash := announcer.Crash{Fingerprint: 7, Attempt: 8, Endpoint: 9}
	reported := func() []announcer.Crash {
		var d announcer.Digest
		g.addUsageAndCrashes(time.Now(), &d)
		return d.Crashes
	}
	for i := range 3 {
		g.handleDigest(time.Now(), "127.0.0.1:1", announcer.Digest{
			Host:        announcer.Host{ID: dotterelpulley.HostID(fmt.Sprint("host-", 7+i)), PeerAddress: "127.0.0.1:1"},
			Incarnation: 1, Start: 1, Sequence: 1, Crashes: []announcer.Crash{crash},
		})
		s.Assert(reported(), qt.DeepEquals, []announcer.Crash{crash})
	}
}

// Guards against a deadly part that is taken for sound since an endpoint refused one of its requests, or garbled its answer.
func TestAnAnswerThatIsNoSuccessClearsNoPart(t *testing.T) {
	handlers := map[string]standin.Handler{
		"signed": func(w http.ResponseWriter, _ *http.Request, _ int) {
			standin.SignResponse(w)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		},
		"empty stream": func(w http.ResponseWriter, _ *http.Request, _ int) {
			standin.SignResponse(w)
			w.Header().Set("Content-Type", eventStreamType)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusOK)
		},
		"unsigned": func(w http.ResponseWriter, _ *http.Request, _ int) { w.WriteHeader(http.StatusBadRequest) },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			f := &fragileFleet{site: newSite(t)}
			f.publishConfiguration(1, 1000)
			e := f.endpoint("i-1", "model", handler)
			g := f.startReadyGateway()
			part := partOfID(deadlyPart)
			g.receiveFacts(time.Now(), promptParts, "host-9", []announcer.PartFact{{Part: uint64(part), Incident: 1, Age: time.Second}})
			f.ask(g, "/plan/", deadlyPart)
			f.Assert(e.Received(), qt.HasLen, 1)
			g.mutex.Lock()
			defer g.mutex.Unlock()
			f.Assert(g.isolations[promptParts].State(time.Now(), part), qt.Equals, isolator.Suspected)
		})
	}
}

// Guards against a part that no host keeps, as all were told of the deciding crash, and against one that stays in the store
// after an answer has cleared it.
func TestAPartIsInTheStoreWhileItIsIsolated(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	part := partOfID(deadlyPart)
	now := time.Now()
	for i := range isolator.Incident(3) {
		g.receiveFacts(now, promptParts, "host-9", []announcer.PartFact{{Part: uint64(part), Incident: uint32(i), Age: time.Duration(i) * time.Second}})
	}
	s.waitFor("the part is kept", func() bool { return len(s.store.Records(platform.IsolationsTopic)) > 0 })
	run := isolator.AttemptID(1)
	g.mutex.Lock()
	isolated := g.isolations[promptParts].Isolated(now)
	_, refused := g.isolations[promptParts].Begin(now.Add(2*time.Minute), []isolator.Part{part}, "i-1", run, func(isolator.Part) bool { return true })
	changes := g.isolations[promptParts].Answered(now.Add(2*time.Minute), "i-1", run)
	g.mutex.Unlock()
	s.Assert(isolated, qt.DeepEquals, []isolator.Part{part})
	s.Assert(refused, qt.IsFalse)
	g.noteChanges(promptParts, changes, "answered")
	s.waitFor("the record is deleted", func() bool {
		records := s.store.Records(platform.IsolationsTopic)
		return len(records) > 0 && records[len(records)-1].Key == part.String() && len(records[len(records)-1].Value) == 0
	})
}

// Guards against a record that stays as it was since its part changed while it was being written.
func TestAPartThatChangesWhileItIsWrittenIsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	var k partKeeper
	k.add(7)
	p, ok := k.take()
	c.Assert(ok, qt.IsTrue)
	k.add(p)
	again, ok := k.take()
	c.Assert(ok, qt.IsTrue)
	c.Assert(again, qt.Equals, p)
	_, ok = k.take()
	c.Assert(ok, qt.IsFalse)
}

// Guards against records that hosts of the next version can't read, or that another writer has garbled.
func TestKeptPartsAreDecodedAsWritten(t *testing.T) {
	c := qt.New(t)
	facts := []isolator.PartFact{{Part: 7, Incident: 1 << 31, Evidence: isolator.Vouched, Age: time.Minute}, {Part: 7, Incident: 2, Age: time.Second}}
	record, err := encodeKeptPart(7, isolator.IsolatedPart, facts)
	c.Assert(err, qt.IsNil)
	got, err := decodeKeptPart(record)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, facts)
	record, err = encodeKeptPart(7, isolator.Suspected, facts)
	c.Assert(err, qt.IsNil)
	c.Assert(record.Value, qt.HasLen, 0)
	for _, garbled := range []platform.Record{{Key: "zz", Value: []byte("[]")}, {Key: "7", Value: []byte("{")}} {
		_, err := decodeKeptPart(garbled)
		c.Assert(err, qt.IsNotNil)
	}
}

// crashWith records crashes of endpoints that had run the request, the last one just now.
func crashWith(g *Gateway, suspects []isolator.Part, crashes int, between func(at time.Time)) {
	for i := range crashes {
		at := time.Now().Add(time.Duration(i+1-crashes) * time.Second)
		e := scheduler.Endpoint{Endpoint: dotterelpulley.Endpoint{ID: dotterelpulley.EndpointID(fmt.Sprint("crashed-", i))}}
		g.mutex.Lock()
		g.isolations[wholeRequests].Begin(at, suspects, startOf(e), isolator.AttemptID(i), g.mayTryPart(at))
		g.mutex.Unlock()
		g.endpointCrashed(at, e)
		between(at)
	}
}

func wholeRequest(body string) []isolator.Part {
	return suspectsOf(&request{organisation: "t1", method: http.MethodPost, target: "/call/", body: []byte(body)})[wholeRequests]
}

// A host that was restarted ran a request that crashes endpoints again, as it knew of no crash.
func TestAnIsolatedRequestOutlivesRestarts(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	e := s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	crashWith(g, wholeRequest("bad"), 3, func(time.Time) {})
	knows := func(g *Gateway) bool {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		return slices.Equal(g.isolations[wholeRequests].Isolated(time.Now()), wholeRequest("bad"))
	}
	refuses := func(g *Gateway) {
		s.waitFor("the host knows the request", func() bool { return knows(g) })
		s.waitForAllowance(g, 20)
		s.Assert(s.post(g, "/call/", "bad").status, qt.Equals, http.StatusServiceUnavailable)
		s.Assert(s.post(g, "/call/", "good").status, qt.Equals, http.StatusOK)
	}
	refuses(g)
	s.waitFor("the request is kept", func() bool { return len(s.store.Records(platform.IsolatedRequestsTopic)) > 0 })
	// The other hosts tell a host that starts, whatever the store holds.
	s.store.SetFailureStatus(http.StatusServiceUnavailable)
	told := s.startGateway()
	g.peers.addHost(told.peers.self())
	s.waitFor("the host is told", func() bool { return knows(told) })
	s.store.SetFailureStatus(0)
	s.waitFor("the host is ready", func() bool { return told.ready(time.Now()) })
	refuses(told)
	// The store tells one that starts alone.
	s.stopGateway(g)
	s.stopGateway(told)
	refuses(s.startReadyGateway())
	s.Assert(e.Received(), qt.HasLen, 3)
}

// A popular request was refused everywhere for the crashes of another that ran beside it.
func TestARequestThatIsAnsweredIsNotRefusedForTheCrashesOfOthers(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	popular := wholeRequest("popular")
	crashWith(g, append(wholeRequest("bad"), popular...), 4, func(time.Time) {
		s.Assert(s.post(g, "/call/", "popular").status, qt.Equals, http.StatusOK)
	})
	s.Assert(s.post(g, "/call/", "bad").status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(s.post(g, "/call/", "popular").status, qt.Equals, http.StatusOK)
}

// Only hosts of earlier builds count by the crashes that they report; others tell what they know of requests.
func TestCrashesReportedByEarlierBuildsCount(t *testing.T) {
	for _, tells := range []bool{false, true} {
		c := qt.New(t)
		g := New(platform.Settings{Host: "host-1"}, &log.Logger{Level: log.PanicLevel})
		for i := range uint32(3) {
			g.receiveIsolations(time.Now().Add(time.Duration(i)*time.Second), announcer.Digest{
				Host: announcer.Host{ID: "host-2"}, TellsRequests: tells,
				Crashes: []announcer.Crash{{Fingerprint: 7, Attempt: uint64(i), Endpoint: i}},
			})
		}
		g.mutex.Lock()
		state := g.isolations[wholeRequests].State(time.Now().Add(3*time.Second), 7)
		g.mutex.Unlock()
		c.Check(state == isolator.IsolatedPart, qt.Equals, !tells)
		c.Check(g.Close(), qt.IsNil)
	}
}
