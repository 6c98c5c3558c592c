package loader

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

// fakeEntry is an entry host that answers plans with a stream and other requests with a body.
// Its list of entry hosts starts with an address at which nothing listens.
func fakeEntry(t *testing.T) dotterelpulley.Address {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(closed.Close(), qt.IsNil)
	app := fiber.New()
	app.Get("/v1/entries", func(ctx fiber.Ctx) error {
		return ctx.JSON(wireEntries{Keep: "1h", Entries: []wireEntry{
			{Address: closed.Addr().String()},
			{Address: listener.Addr().String()},
		}})
	})
	app.Post("/v1/:kind", func(ctx fiber.Ctx) error {
		var w wireRequest
		if err := json.Unmarshal(ctx.Body(), &w); err != nil {
			return err
		}
		if w.Route == "dose-review" {
			ctx.Status(fiber.StatusTooManyRequests)
			return ctx.JSON(wireRefusal{Error: "shed", Truth: "not-run", RetryAfter: "1h"})
		}
		if !w.Stream {
			return ctx.JSON(wireBody{Output: standin.PlainResponse(string(w.Payload)), Chunks: 1})
		}
		ctx.Set(fiber.HeaderContentType, "text/event-stream")
		return ctx.SendStreamWriter(func(out *bufio.Writer) {
			fmt.Fprint(out, ": waiting\n\n")
			tokens := standin.Output(w.Prompt, w.MaxTokens)
			for i, token := range tokens {
				fmt.Fprintf(out, "event: chunk\ndata: {\"index\":%d,\"text\":%q}\n\n", i, token)
			}
			if strings.Contains(w.Route, "cab") {
				fmt.Fprintf(out, "event: end\ndata: {\"chunks\":%d,\"version\":\"v1\"}\n\n", len(tokens))
			}
		})
	})
	var server conc.WaitGroup
	server.Go(func() {
		_ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	t.Cleanup(func() {
		c.Check(app.Shutdown(), qt.IsNil)
		server.Wait()
	})
	return dotterelpulley.Address(listener.Addr().String())
}

func TestRunnerValidatesAnswersOverTCP(t *testing.T) {
	c := qt.New(t)
	runner := Runner{Entries: []dotterelpulley.Address{fakeEntry(t)}, Retry: Retry{MaxSends: 2}}
	arrivals := Plan(PlanSettings{
		Profile:  profiles[ProfilePollulaotus],
		Duration: 200 * time.Millisecond,
		Rate:     200,
	})
	results := runner.Run(t.Context(), arrivals)
	c.Assert(results, qt.HasLen, len(arrivals))
	for _, r := range results {
		route := r.Arrival.Request.Route
		c.Check(r.Sends[0].Outcome, qt.Equals, OutcomeUnreachable, qt.Commentf("route %s", route))
		want := OutcomeCompleted
		switch route {
		case "dose-review":
			want = OutcomeRefused
		case "parcel-check", "season-plan":
			want = OutcomeTruncated
		}
		c.Check(r.Final().Outcome, qt.Equals, want, qt.Commentf("route %s: %s", route, r.Final().Fault))
	}
}
