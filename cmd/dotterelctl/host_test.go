package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/describer"
)

func TestHostStateIsPrinted(t *testing.T) {
	c := qt.New(t)
	state, err := describer.Encode(describer.Host{
		ID: "front-1", State: "serving", Configuration: 7, SinceConfirmed: 1234567 * time.Microsecond,
		Endpoints: []describer.Endpoint{{ID: "e1", Service: "s", Slots: 11, Running: 2, PeerRunning: 3}},
		Caps:      []describer.Cap{{Organisation: "o1", Used: 10, Allowed: 20}},
	})
	c.Assert(err, qt.IsNil)
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/state" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(state)
	}))
	defer host.Close()
	data, err := fetchHostState(context.Background(), strings.TrimPrefix(host.URL, "http://"))
	c.Assert(err, qt.IsNil)
	h, err := describer.Decode(data)
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	c.Assert(printHost(&out, h), qt.IsNil)
	for _, part := range []string{"front-1", "configuration 7 proved 1.235s ago", "e1", "o1"} {
		c.Check(out.String(), qt.Contains, part)
	}
	host.Close()
	_, err = fetchHostState(context.Background(), strings.TrimPrefix(host.URL, "http://"))
	c.Assert(err, qt.ErrorMatches, "ask the host: .*")
}
