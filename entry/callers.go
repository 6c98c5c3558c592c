package entry

import (
	"bufio"
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/dotterelpulley/dotterelpulley"
)

const readTimeout = 10 * time.Second

func (e *Entry) callerApp() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:      e.settings.Limits.BodyBytes,
		ReadBufferSize: e.settings.Limits.HeaderBytes,
		ReadTimeout:    readTimeout,
		ErrorHandler:   e.handleHTTPError,
	})
	app.Use(markReceived)
	app.Get("/v1/entries", e.handleEntries)
	app.Post("/v1/plans", e.handleRequest(dotterelpulley.KindPlan))
	app.Post("/v1/notices", e.handleRequest(dotterelpulley.KindNotice))
	app.Post("/v1/bookings", e.handleRequest(dotterelpulley.KindBooking))
	return app
}

// handleHTTPError answers requests that the HTTP library rejects before a handler is called.
func (e *Entry) handleHTTPError(c fiber.Ctx, err error) error {
	var refused *fiber.Error
	if !errors.As(err, &refused) {
		return e.refuse(c, dotterelpulley.Refuse(dotterelpulley.ErrorInvalid, 0, err.Error()))
	}
	if refused.Code == fiber.StatusRequestEntityTooLarge {
		return e.refuse(c, dotterelpulley.Refuse(dotterelpulley.ErrorTooLarge, 0, refused.Message))
	}
	return c.Status(refused.Code).JSON(wireRefusal{
		Error:  dotterelpulley.ErrorInvalid.String(),
		Truth:  dotterelpulley.NotRun.String(),
		Detail: refused.Message,
	})
}

func (e *Entry) refuse(c fiber.Ctx, r *dotterelpulley.Refusal) error {
	if r.RetryAfter > 0 {
		seconds := max(1, math.Ceil(r.RetryAfter.Seconds()))
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	return c.Status(r.Kind.Answer().Status).JSON(refusalToWire(r))
}

func (e *Entry) handleRequest(kind dotterelpulley.RequestKind) fiber.Handler {
	return func(c fiber.Ctx) error {
		key := strings.Clone(c.Get(headerKey))
		// Body would decompress what callers send, without a limit.
		req, stream, err := decodeRequest(kind, key, c.BodyRaw(), time.Now())
		if err != nil {
			return e.refuse(c, dotterelpulley.Refuse(dotterelpulley.ErrorInvalid, 0, err.Error()))
		}
		if refusal := e.authenticate(c, req.Key.Organisation); refusal != nil {
			e.counters.Inc("refused-" + refusal.Kind.String())
			return e.refuse(c, refusal)
		}
		sub, refusal := e.submit(&req)
		if refusal != nil {
			e.counters.Inc("refused-" + refusal.Kind.String())
			return e.refuse(c, capRetryAfter(refusal, time.Now(), req.Deadline))
		}
		c.Set(headerKey, string(req.Key.Idempotency))
		if stream {
			return e.streamAnswer(c, sub, req.Deadline)
		}
		return e.sendAnswer(c, sub, req.Deadline)
	}
}

// answerGrace is the time after a request's deadline to wait for the outcome from the host that runs it.
const answerGrace = 250 * time.Millisecond

// stillRunningRefusal returns the refusal of a request that is still active at its deadline.
func stillRunningRefusal() *dotterelpulley.Refusal {
	return dotterelpulley.Refuse(dotterelpulley.ErrorOutcomeUnknown, time.Second,
		"the request's time ended while it ran; sent again under its key it gets the answer of that run")
}

func (e *Entry) sendAnswer(c fiber.Ctx, sub subscription, deadline time.Time) error {
	defer sub.cancel()
	timer := time.NewTimer(time.Until(deadline) + answerGrace)
	defer timer.Stop()
	v := sub.from(0)
	for !v.ended() {
		select {
		case <-v.changed:
		case <-timer.C:
			e.counters.Inc("answered-late")
			return e.refuse(c, stillRunningRefusal())
		}
		v = sub.from(0)
	}
	if v.refusal != nil {
		return e.refuse(c, capRetryAfter(v.refusal, time.Now(), deadline))
	}
	return c.JSON(wireAnswer{
		Output:   strings.Join(v.chunks, ""),
		Chunks:   v.end.chunks,
		Version:  string(v.end.version),
		Endpoint: string(v.end.endpoint),
	})
}

func (e *Entry) streamAnswer(c fiber.Ctx, sub subscription, deadline time.Time) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-store")
	return c.SendStreamWriter(func(to *bufio.Writer) {
		defer sub.cancel()
		if err := writeEvents(to, sub.output, deadline); err != nil {
			e.counters.Inc("caller-gone")
		}
	})
}

// writeEvents writes the output as server-sent events until it ends or the caller disconnects.
func writeEvents(to *bufio.Writer, out *output, deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline) + answerGrace)
	defer timer.Stop()
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	sent := 0
	for {
		v := out.from(sent)
		for _, text := range v.chunks {
			writeEvent(to, "chunk", wireChunk{Index: sent, Text: text})
			sent++
		}
		switch {
		case v.end != nil:
			writeEvent(to, "end", wireEnd{
				Chunks:   v.end.chunks,
				Version:  string(v.end.version),
				Endpoint: string(v.end.endpoint),
			})
			return to.Flush()
		case v.refusal != nil:
			writeEvent(to, "error", refusalToWire(capRetryAfter(v.refusal, time.Now(), deadline)))
			return to.Flush()
		}
		if err := to.Flush(); err != nil {
			return err
		}
		select {
		case <-v.changed:
		case <-timer.C:
			writeEvent(to, "error", refusalToWire(stillRunningRefusal()))
			return to.Flush()
		case <-tick.C:
			_, _ = to.WriteString(": waiting\n\n")
		}
	}
}

func writeEvent(to *bufio.Writer, name string, data any) {
	encoded, err := json.Marshal(data)
	if err != nil {
		return
	}
	_, _ = to.WriteString("event: " + name + "\ndata: ")
	_, _ = to.Write(encoded)
	_, _ = to.WriteString("\n\n")
}
