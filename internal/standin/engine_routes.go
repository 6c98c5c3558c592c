package standin

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
)

func (e *Engine) routes(app *fiber.App) {
	app.Post("/v1/completions", e.handleCompletion)
	app.Post("/v1/resume", e.handleResume)
	app.Post("/v1/cancel", e.handleCancel)
	app.Get("/v1/load", func(c fiber.Ctx) error { return c.JSON(e.report(time.Now())) })
	app.Get("/v1/cache_events", e.handleCacheEvents)
	app.Post("/v1/kv/export", e.handleExport)
	app.Post("/v1/kv/import", e.handleImport)
	app.Post("/v1/orders", e.handleOrder)
	app.Get("/v1/orders", e.handleOrderState)
	app.Post("/standin/faults", e.handleFaults)
	app.Get("/standin/ledger", e.handleLedger)
}

func (e *Engine) handleFaults(c fiber.Ctx) error {
	return takeFaults(c, e.applyFaults)
}

func (e *Engine) handleLedger(c fiber.Ctx) error {
	return c.JSON(ledgerToWire(e.Ledger.Runs()))
}

type wireCompletion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	RequestID string `json:"request_id"`
}

type wireResume struct {
	RequestID string `json:"request_id"`
	From      int    `json:"from"`
}

func fail(c fiber.Ctx, status int, kind, message string) error {
	return c.Status(status).JSON(wireError{Error: wireErrorBody{Type: kind, Message: message}})
}

func (e *Engine) handleCompletion(c fiber.Ctx) error {
	var w wireCompletion
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return fail(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	if w.Prompt == "" || w.RequestID == "" {
		return fail(c, fiber.StatusBadRequest, "invalid_request", "prompt and request_id are required")
	}
	now := time.Now()
	e.state.Lock()
	if e.faults.notAdmitted || !slices.Contains(e.orders.versions, w.Model) {
		e.state.Unlock()
		return fail(c, fiber.StatusServiceUnavailable, "not_admitted", "model "+strconv.Quote(w.Model)+" is not served now")
	}
	j := &job{
		id:      w.RequestID,
		version: w.Model,
		route:   c.Get("Route"),
		prompt:  w.Prompt,
		output:  Output(w.Prompt, w.MaxTokens),
		total:   PromptTokens(w.Prompt),
		readers: 1,
	}
	j.entry = e.Ledger.start(Run{
		RequestID:    w.RequestID,
		Key:          c.Get("Idempotency-Key"),
		Version:      w.Model,
		Endpoint:     string(e.ID),
		Started:      now,
		PromptTokens: j.total,
	})
	e.submit(j, now)
	fails := j.fails
	e.state.Unlock()
	if w.Stream && !fails {
		return e.stream(c, j, 0)
	}
	return e.answer(c, j)
}

// find returns the job of that id, or nil.
func (e *Engine) find(id string) *job {
	e.state.Lock()
	defer e.state.Unlock()
	return e.jobs[id]
}

func (e *Engine) handleResume(c fiber.Ctx) error {
	var w wireResume
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return fail(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	j := e.find(w.RequestID)
	if j == nil || w.From < 0 || w.From > len(j.output) || !e.join(j) {
		return fail(c, fiber.StatusNotFound, "unknown_request", "no run of "+strconv.Quote(w.RequestID)+" from that token")
	}
	return e.stream(c, j, w.From)
}

// join adds a reader to a run that goes on or is whole.
func (e *Engine) join(j *job) bool {
	e.state.Lock()
	defer e.state.Unlock()
	if j.outcome != OutcomeRunning && j.outcome != OutcomeWhole {
		return false
	}
	j.readers++
	return true
}

func (e *Engine) handleCancel(c fiber.Ctx) error {
	var w wireResume
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return fail(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	j := e.find(w.RequestID)
	if j == nil {
		return fail(c, fiber.StatusNotFound, "unknown_request", "no run of "+strconv.Quote(w.RequestID))
	}
	e.state.Lock()
	defer e.state.Unlock()
	e.end(j, OutcomeCancelled, time.Now())
	return c.JSON(fiber.Map{"request_id": j.id, "outcome": j.outcome})
}

type wireCacheEvents struct {
	Events []cacheEvent `json:"events"`
	Next   int64        `json:"next"`
}

func (e *Engine) handleCacheEvents(c fiber.Ctx) error {
	since, err := strconv.ParseInt(c.Query("since", "0"), 10, 64)
	if err != nil {
		return fail(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	e.state.Lock()
	defer e.state.Unlock()
	w := wireCacheEvents{Events: []cacheEvent{}, Next: max(1, since)}
	due := time.Now().Add(-e.EventLag)
	for _, event := range e.work.cache.events {
		if event.Seq < since || event.at.After(due) {
			continue
		}
		w.Next = event.Seq + 1
		if e.EventGap > 0 && event.Seq%int64(e.EventGap) == 0 {
			continue
		}
		w.Events = append(w.Events, event)
	}
	return c.JSON(w)
}

// wireKV is what an engine exports of a run.
type wireKV struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Tokens    int    `json:"tokens"`
	Next      int    `json:"next"`
}

// handleExport gives the run's state and ends it here.
func (e *Engine) handleExport(c fiber.Ctx) error {
	var w wireResume
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return fail(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	j := e.find(w.RequestID)
	if j == nil {
		return fail(c, fiber.StatusNotFound, "unknown_request", "no run of "+strconv.Quote(w.RequestID))
	}
	e.state.Lock()
	defer e.state.Unlock()
	kv := wireKV{RequestID: j.id, Key: j.entry.Key, Model: j.version, Prompt: j.prompt, Tokens: len(j.output), Next: j.emitted}
	e.end(j, OutcomeMoved, time.Now())
	return c.JSON(kv)
}

// handleImport takes up a run that another engine has exported.
func (e *Engine) handleImport(c fiber.Ctx) error {
	var w wireKV
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return fail(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	now := time.Now()
	e.state.Lock()
	defer e.state.Unlock()
	if !slices.Contains(e.orders.versions, w.Model) {
		return fail(c, fiber.StatusServiceUnavailable, "not_admitted", "model "+strconv.Quote(w.Model)+" is not served now")
	}
	if e.jobs[w.RequestID] != nil {
		return fail(c, fiber.StatusConflict, "known_request", "the run is here already")
	}
	j := &job{
		id:       w.RequestID,
		version:  w.Model,
		prompt:   w.Prompt,
		output:   Output(w.Prompt, w.Tokens),
		total:    PromptTokens(w.Prompt),
		emitted:  w.Next,
		detached: now,
	}
	j.prefill = j.total
	j.cached = j.total
	j.entry = e.Ledger.start(Run{
		RequestID:    w.RequestID,
		Key:          w.Key,
		Version:      w.Model,
		Endpoint:     string(e.ID),
		Started:      now,
		PromptTokens: j.total,
		Continued:    true,
	})
	e.adopt(j)
	e.work.running = append(e.work.running, j)
	e.rouse()
	return c.JSON(fiber.Map{"request_id": w.RequestID, "next": w.Next})
}
