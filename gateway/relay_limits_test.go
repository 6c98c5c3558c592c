package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/relayer"
)

// endlessReader is a body without end.
type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) {
	return len(b), nil
}

// A host whose answer has no end must not fill the memory of all that follow it.
func TestAReadersAnswerWithoutEndIsRefused(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	client, closeIdle := newRelayClient()
	defer closeIdle()
	reader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/"+relayCodec{}.Name())
		_, _ = io.Copy(w, endlessReader{})
	}))
	defer reader.Close()
	_, err := g.callReader(client, announcer.Member{Digest: announcer.Digest{Host: announcer.Host{
		PeerAddress: dotterelpulley.Address(strings.TrimPrefix(reader.URL, "http://")),
	}}}, &relayer.FollowRequest{Wait: 4 * time.Second})
	s.Assert(connect.CodeOf(err), qt.Equals, connect.CodeResourceExhausted, qt.Commentf("%v", err))
}

// A query without end is answered with an error, not read for as long as it goes on.
func TestAFollowersQueryWithoutEndIsRefused(t *testing.T) {
	s := newSite(t)
	s.publishConfiguration(1, 1000)
	s.endpoint("i-1", "plain", answerHello)
	g := s.startReadyGateway()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(g.peers.self().PeerAddress)+relayProcedure, endlessReader{})
	s.Assert(err, qt.IsNil)
	r.Header.Set("Content-Type", "application/"+relayCodec{}.Name())
	response, err := http.DefaultTransport.RoundTrip(r)
	s.Assert(ctx.Err(), qt.IsNil)
	if err == nil {
		defer response.Body.Close()
		s.Assert(response.StatusCode, qt.Not(qt.Equals), http.StatusOK)
	}
}
