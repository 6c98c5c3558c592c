package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
	"github.com/dotterelpulley/dotterelpulley/router"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// A part that crashes endpoints was never suspected: the answer to another request with the same id counted for it.
func TestAnAnswerToAnotherRequestWithTheSameIDClearsNoPart(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	waits, crash := make(chan struct{}), make(chan struct{})
	e := s.endpoint("i-1", "model", func(w http.ResponseWriter, r *http.Request, _ int) {
		if !strings.Contains(r.Header.Get("Dotterelpulley-Prompt-Prefix"), deadlyPart) {
			standin.WriteEvents(w, 1, 3)
			return
		}
		close(waits)
		<-crash
		standin.AbortResponse()
	})
	s.endpoint("i-2", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	ask := func(part string) answer {
		r := s.request(context.Background(), g, http.MethodPost, "/plan/"+part, part)
		r.Header.Set("Dotterelpulley-Prompt-Prefix", part+":100,own:100")
		r.Header.Set("Dotterelpulley-Attempt-Id", "same")
		return s.send(r)
	}
	failed := make(chan answer, 1)
	go func() { failed <- ask(deadlyPart) }()
	<-waits
	sound := ask(firstPart)
	e.Crash()
	close(crash)
	s.Assert(sound.status, qt.Equals, http.StatusOK, qt.Commentf("%s", sound.body))
	s.Assert((<-failed).status, qt.Not(qt.Equals), http.StatusOK)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s.Assert(g.isolations[promptParts].State(time.Now(), partOfID(deadlyPart)), qt.Equals, isolator.Suspected)
	s.Assert(g.isolations[promptParts].State(time.Now(), partOfID(firstPart)), qt.Equals, isolator.Sound)
}

// Hosts of builds up to 164c83d were told of one crash only of a request that came again with its id.
func TestEachCrashOfARequestThatComesAgainWithItsIDIsReported(t *testing.T) {
	c := qt.New(t)
	g := New(platform.Settings{Host: "host-1"}, &log.Logger{Level: log.PanicLevel})
	defer func() { c.Check(g.Close(), qt.IsNil) }()
	for i := range 2 {
		p := &proxiedRequest{gateway: g, request: &request{RequestMetadata: platform.RequestMetadata{AttemptID: "same"}, route: &router.Route{}}}
		p.suspects = suspectsOf(p.request)
		placed := scheduler.Placed{ID: scheduler.ID(i)}
		placed.Endpoint.ID = dotterelpulley.EndpointID(fmt.Sprint("i-", i))
		_, refused := p.startAttempt(placed)
		c.Assert(refused, qt.IsNil)
		g.endpointCrashed(time.Now(), placed.Endpoint)
		c.Assert(g.crashes.announced(), qt.HasLen, i+1)
	}
}
