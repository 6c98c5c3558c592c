package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

// A configuration without their routes, services and key, and endpoints that leave the store, must not end requests that run.
func TestAChangeOfTheConfigurationEndsNoRunningRequest(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	started, release := make(chan struct{}, 3), make(chan struct{})
	s.endpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, n int) {
		started <- struct{}{}
		<-release
		answerHello(w, r, n)
	})
	s.endpoint("i-2", "model", func(w http.ResponseWriter, _ *http.Request, _ int) {
		standin.WriteEvents(w, 1, 1)
		started <- struct{}{}
		<-release
		standin.WriteEvents(w, 2, 2)
	})
	g := s.startReadyGateway()
	s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
	s.waitForAllowance(g, 3)
	paths := map[string]string{"/call/": "hello", "/plan/": wholeStream, "/advice/": wholeStream}
	answers := map[string]chan answer{}
	for path := range paths {
		got := make(chan answer, 1)
		answers[path] = got
		r := s.request(context.Background(), g, http.MethodPost, path, "body")
		go func() { got <- s.send(r) }()
		<-started
	}
	s.store.Put(platform.OperatorsTopic, platform.ConfigurationKey, []byte(`{"version":2,"routes":[
		{"name":"call","host":"h.example","path_prefix":"/call/","kind":"idempotent","timeout_ms":1,"service":"other","max_attempts":1}],
		"services":[{"name":"other","max_conns":1}],"limits":{"max_body_bytes":1},"tenants":[{"name":"t2","api_keys":["k2"]}]}`))
	s.store.Put(platform.EndpointsTopic, "i-1", nil)
	s.store.Put(platform.EndpointsTopic, "i-2", nil)
	s.waitFor("the change is in force", func() bool { return g.configurationVersion() == 2 && len(registrations(g)) == 0 })
	close(release)
	for path, body := range paths {
		a := <-answers[path]
		s.Check(a.err, qt.IsNil, qt.Commentf("%s", path))
		s.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", path))
		s.Check(a.body, qt.Equals, body, qt.Commentf("%s", path))
	}
}

// A refusal must reach a caller whose body the host doesn't read.
func TestARefusalBeforeTheBodyIsReadReachesItsCaller(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	for path, status := range map[string]int{"/call/": http.StatusRequestEntityTooLarge, "/unknown/": http.StatusNotFound} {
		for _, size := range []int{10 << 10, 200 << 10} {
			r := s.request(context.Background(), g, http.MethodPost, path, "")
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", size))), int64(size)
			a := s.send(r)
			s.Check(a.err, qt.IsNil, qt.Commentf("%s, %d bytes", path, size))
			s.Check(a.status, qt.Equals, status, qt.Commentf("%s, %d bytes", path, size))
		}
	}
}
