package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

const (
	registerService       = "register-app"
	registerConfiguration = testConfiguration + `
[[services]]
id = "register-app"
kind = "plain"
repeatable = false
`
)

// sendBooking sends a booking with a deadline and returns its status and, unless it succeeded, its refusal.
func (f *fleet) sendBooking(to int, key string, deadline time.Duration) (int, wireRefusal) {
	return f.refusal(f.request(to, "/v1/bookings", key, "", wireRequest{
		Organisation: "council",
		Tier:         "standard",
		Service:      registerService,
		Deadline:     deadline.String(),
		Payload:      json.RawMessage(`{"street":1}`),
	}))
}

func (f *fleet) addRegister(r *standin.Plain) {
	f.Assert(r.Start("127.0.0.1:0"), qt.IsNil)
	f.Cleanup(func() { f.Check(r.Close(), qt.IsNil) })
	f.hosts.Set(lister.Host{ID: "register-1", Kind: lister.KindPlain, Service: registerService, Address: r.Address(), Zone: "perth-north"})
	f.publish(registerConfiguration)
	for _, e := range f.entries {
		f.until("the register is known", func() bool { return len(e.endpoints.all()) == 2 })
	}
}

// TestResendGetsAnswerOfBookingPastItsDeadline uses a service that takes longer than the caller waits.
func TestResendGetsAnswerOfBookingPastItsDeadline(t *testing.T) {
	f := newFleet(t, 2, nil)
	register := &standin.Plain{ID: "register-1", Service: registerService, CallTime: 2 * time.Second}
	f.addRegister(register)
	for host := range f.entries {
		key := fmt.Sprintf("booking-%d", host)
		status, refusal := f.sendBooking(host, key, 500*time.Millisecond)
		f.Check(status, qt.Equals, dotterelpulley.ErrorOutcomeUnknown.Answer().Status)
		f.Check(refusal.Truth, qt.Equals, dotterelpulley.OutcomeUnknown.String())
		f.Check(refusal.RetryAfter, qt.Not(qt.Equals), "")
		status, refusal = f.sendBooking(1-host, key, time.Minute)
		f.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%+v", refusal))
	}
	f.Check(standin.DuplicateKeys(register.Ledger.Runs()), qt.HasLen, 0)
	f.Check(register.Ledger.Runs(), qt.HasLen, len(f.entries))
}

// TestRetryElsewhereRequiresProofOfNoStart answers status 503 with and without the statement that nothing started.
func TestRetryElsewhereRequiresProofOfNoStart(t *testing.T) {
	cases := []struct {
		name, body string
		proves     bool
	}{
		{"not admitted", `{"error":{"type":"not_admitted"}}`, true},
		{"another error", `{"error":{"type":"overloaded"}}`, false},
		{"no body", "", false},
		{"an error page of a proxy", "<html>503</html>", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 1, nil)
			server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
				c.SetStatusCode(http.StatusServiceUnavailable)
				c.SetBodyString(tc.body)
			}}
			address := f.serve(server)
			e := f.entries[0]
			c := newCall(address, "/v1/completions", e.settings.Timeouts)
			defer c.close()
			r := &run{output: newOutput()}
			_, notStarted := e.stream(t.Context(), r, c).(attemptNotStarted)
			f.Check(notStarted, qt.Equals, tc.proves)
		})
	}
}
