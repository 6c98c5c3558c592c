package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb"
	"github.com/dotterelpulley/dotterelpulley/internal/slurper"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// generated is a body without end of which the function returns the next part.
type generated struct {
	next    func(n int) string
	count   int
	pending string
}

func (g *generated) Read(b []byte) (int, error) {
	if g.pending == "" {
		g.pending = g.next(g.count)
		g.count++
	}
	n := copy(b, g.pending)
	g.pending = g.pending[n:]
	return n, nil
}

// An engine whose stream has no end must not fill the memory of its host, which keeps answers for resends.
func TestAnEnginesStreamWithoutEndFailsAtALimit(t *testing.T) {
	token := func(n int, text string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"text\":%q}],\"token_index\":%d}\n\n", text, n)
	}
	for name, next := range map[string]func(n int) string{
		"tokens":       func(n int) string { return token(n, "x") },
		"empty tokens": func(n int) string { return token(n, "") },
		"long tokens":  func(n int) string { return token(n, strings.Repeat("x", 10000)) },
		"one token":    func(int) string { return token(0, "x") },
		"comments":     func(int) string { return ": wait\n" },
		"empty lines":  func(int) string { return "\n" },
		"one line":     func(int) string { return "data: " },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			body := &generated{next: next}
			out := newOutput()
			completed, err := readTokens(io.LimitReader(body, 4*maxStreamBytes), out)
			c.Assert(completed, qt.IsFalse)
			c.Assert(err, qt.IsNotNil)
			c.Assert(out.length() <= maxTokensLimit, qt.IsTrue)
			size := 0
			for _, chunk := range out.from(0).chunks {
				size += len(chunk)
			}
			c.Assert(size <= maxAnswerBytes, qt.IsTrue)
		})
	}
}

// A service whose answer has no end must not fill the memory of its host; its booking's outcome is unknown at once.
func TestAServicesAnswerBeyondTheLimitIsAnUnknownOutcome(t *testing.T) {
	f := newFleet(t, 1, nil)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/load" {
			_, _ = io.WriteString(w, `{"slots":8,"versions":[],"role":"both"}`)
			return
		}
		_, _ = io.WriteString(w, strings.Repeat("x", maxAnswerBytes+1))
	}))
	f.Cleanup(service.Close)
	f.hosts.Set(lister.Host{
		ID: "register-1", Kind: lister.KindPlain, Service: registerService, Zone: "perth-north",
		Address: dotterelpulley.Address(strings.TrimPrefix(service.URL, "http://")),
	})
	f.publish(registerConfiguration)
	f.until("the service is known", func() bool { return len(f.entries[0].endpoints.all()) == 2 })
	status, refusal := f.sendBooking(0, "booking", time.Minute)
	f.Assert(status, qt.Equals, dotterelpulley.ErrorOutcomeUnknown.Answer().Status)
	f.Assert(refusal.Truth, qt.Equals, dotterelpulley.OutcomeUnknown.String())
}

// A host whose messages have no end must not fill the memory of the others.
func TestAnotherHostsMessageBeyondTheLimitIsAnError(t *testing.T) {
	f := newFleet(t, 1, nil)
	f.entries[0].peerMessageLimit = 1 << 20
	peer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", r.Header.Get("Content-Type"))
		part := make([]byte, 1<<16)
		for sent := slurper.Bytes(0); sent <= f.entries[0].peerMessageLimit; sent += slurper.Bytes(len(part)) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	peer.Config.Protocols = peerListenerProtocols()
	peer.Start()
	f.Cleanup(peer.Close)
	address := dotterelpulley.Address(strings.TrimPrefix(peer.URL, "http://"))
	_, err := f.entries[0].peer(address).Exchange(t.Context(), &peerpb.ExchangeRequest{})
	f.Assert(connect.CodeOf(err), qt.Equals, connect.CodeResourceExhausted, qt.Commentf("%v", err))
	_, err = f.entries[0].callPeer(http.MethodGet, address, "/v1/records", nil)
	f.Assert(err, qt.ErrorIs, slurper.ErrTooLarge)
}
