package gateway

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An endpoint that had run a request answered with a failure that said it had not run, and a second endpoint ran it again.
func TestAFailureThatSaysNotRunIsNoRefusal(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusFound, http.StatusNotFound, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			s := newSite(t)
			s.publishConfiguration(1, 1000)
			contradict := func(w http.ResponseWriter, _ *http.Request, _ int) {
				w.Header().Set("Dotterelpulley-Not-Executed", "1")
				w.WriteHeader(status)
			}
			first, second := s.endpoint("i-1", "plain", contradict), s.endpoint("i-2", "plain", contradict)
			g := s.startReadyGateway()
			s.waitFor("both endpoints are known", func() bool { return len(registrations(g)) == 2 })
			s.waitForAllowance(g, 20)
			a := s.post(g, "/call/", "book")
			s.Check(a.status, qt.Not(qt.Equals), http.StatusServiceUnavailable)
			s.Check(len(first.Received())+len(second.Received()), qt.Equals, 1)
		})
	}
}
