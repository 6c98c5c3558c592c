package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/budgeter"
	"github.com/dotterelpulley/dotterelpulley/platform"
)

// publishLargeBodies publishes a configuration that allows bodies of 4 MB.
func (s *site) publishLargeBodies() {
	text := fmt.Sprintf(siteConfiguration, 1, 1000, 1000)
	s.store.Put(platform.OperatorsTopic, platform.ConfigurationKey, []byte(strings.Replace(text, `"max_body_bytes":1000`, `"max_body_bytes":4194304`, 1)))
}

// Bodies that are each within the limit must not together end the host with all requests of all callers.
func TestBodiesOfManyCallersFitTheMemory(t *testing.T) {
	const (
		callers = 60
		// maxHeap is half of the memory of a host, as the collector lets the heap double.
		memory  = 88 << 20
		maxHeap = memory / 2
	)
	s := newSite(t)
	s.publishLargeBodies()
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 2*callers)
	g.clients.SetLimits(clientLimits(platform.Settings{Memory: memory}))
	before := heapInUse()
	part := strings.Repeat("x", 1<<20)
	for range callers {
		conn := s.callSilently(g, "POST /call/ HTTP/1.1", "Content-Length: 2000000\r\n\r\n")
		// A host that refuses the body closes the connection.
		_, _ = io.WriteString(conn, part)
	}
	grown := heapInUse() - before
	s.Logf("the heap grew by %d KB", grown>>10)
	s.Assert(grown < maxHeap, qt.IsTrue)
}

// A request without room for its body is refused unrun, and served once there is room; small ones are served all the while.
func TestABodyWithoutRoomIsRefusedUnrun(t *testing.T) {
	s := newSite(t)
	s.publishLargeBodies()
	e := s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	s.waitForAllowance(g, 20)
	large := strings.Repeat("x", 100<<10)
	before := g.clients.Usage().Bytes
	const limit = 8 << 20
	g.clients.SetLimits(budgeter.Limits{Bytes: limit})
	other, err := g.clients.Open(func() {})
	s.Assert(err, qt.IsNil)
	other.Serve()
	// Larger requests get a part of the budget only.
	s.Assert(other.Reserve(limit*3/4-g.clients.Usage().Bytes), qt.IsNil)
	s.Assert(s.post(g, "/call/", large).status, qt.Equals, http.StatusServiceUnavailable)
	s.Assert(e.Received(), qt.HasLen, 0)
	s.Assert(s.post(g, "/call/", "small").status, qt.Equals, http.StatusOK)
	other.Close()
	s.Assert(s.post(g, "/call/", large).status, qt.Equals, http.StatusOK)
	s.Assert(e.Received()[1].Body == large, qt.IsTrue)
	s.waitFor("the room is given back", func() bool { return g.clients.Usage().Bytes <= before })
}
