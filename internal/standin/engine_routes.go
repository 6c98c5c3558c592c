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
	return handleFaultRequest(c, e.applyFaults)
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

func sendError(c fiber.Ctx, status int, kind, message string) error {
	return c.Status(status).JSON(wireError{Error: wireErrorBody{Type: kind, Message: message}})
}

func (e *Engine) handleCompletion(c fiber.Ctx) error {
	var w wireCompletion
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return sendError(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	if w.Prompt == "" || w.RequestID == "" {
		return sendError(c, fiber.StatusBadRequest, "invalid_request", "prompt and request_id are required")
	}
	now := time.Now()
	e.stateMu.Lock()
	if e.faults.notAdmitted || !slices.Contains(e.orders.versions, w.Model) {
		e.stateMu.Unlock()
		return sendError(c, fiber.StatusServiceUnavailable, "not_admitted", "model "+strconv.Quote(w.Model)+" is not served now")
	}
	j := &job{
		id:           w.RequestID,
		version:      w.Model,
		route:        c.Get("Route"),
		prompt:       w.Prompt,
		output:       Output(w.Prompt, w.MaxTokens),
		promptTokens: PromptTokens(w.Prompt),
		readers:      1,
	}
	j.run = e.Ledger.start(Run{
		RequestID:    w.RequestID,
		Key:          c.Get("Idempotency-Key"),
		Version:      w.Model,
		Endpoint:     string(e.ID),
		Started:      now,
		PromptTokens: j.promptTokens,
	})
	e.submit(j, now)
	fails := j.fails
	e.stateMu.Unlock()
	if w.Stream && !fails {
		return e.stream(c, j, 0)
	}
	return e.respond(c, j)
}

// findJob returns the job with the ID, or nil.
func (e *Engine) findJob(id string) *job {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.jobs[id]
}

func (e *Engine) handleResume(c fiber.Ctx) error {
	var w wireResume
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return sendError(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	j := e.findJob(w.RequestID)
	if j == nil || w.From < 0 || w.From > len(j.output) || !e.attachReader(j) {
		return sendError(c, fiber.StatusNotFound, "unknown_request", "no run of "+strconv.Quote(w.RequestID)+" from that token")
	}
	return e.stream(c, j, w.From)
}

// attachReader adds a reader to the job and reports whether it is running or completed.
func (e *Engine) attachReader(j *job) bool {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if j.outcome != OutcomeRunning && j.outcome != OutcomeCompleted {
		return false
	}
	j.readers++
	return true
}

func (e *Engine) handleCancel(c fiber.Ctx) error {
	var w wireResume
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return sendError(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	j := e.findJob(w.RequestID)
	if j == nil {
		return sendError(c, fiber.StatusNotFound, "unknown_request", "no run of "+strconv.Quote(w.RequestID))
	}
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.endJob(j, OutcomeCancelled, time.Now())
	return c.JSON(fiber.Map{"request_id": j.id, "outcome": j.outcome})
}

type wireCacheEvents struct {
	Events []cacheEvent `json:"events"`
	Next   int64        `json:"next"`
}

func (e *Engine) handleCacheEvents(c fiber.Ctx) error {
	since, err := strconv.ParseInt(c.Query("since", "0"), 10, 64)
	if err != nil {
		return sendError(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	w := wireCacheEvents{Events: []cacheEvent{}, Next: max(1, since)}
	due := time.Now().Add(-e.EventLag)
	for _, event := range e.batch.cache.events {
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

// wireKV is the exported state of a run.
type wireKV struct {
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Tokens    int    `json:"tokens"`
	Next      int    `json:"next"`
}

// handleExport returns the state of a run and ends the run on this engine.
func (e *Engine) handleExport(c fiber.Ctx) error {
	var w wireResume
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return sendError(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	j := e.findJob(w.RequestID)
	if j == nil {
		return sendError(c, fiber.StatusNotFound, "unknown_request", "no run of "+strconv.Quote(w.RequestID))
	}
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	kv := wireKV{RequestID: j.id, Key: j.run.Key, Model: j.version, Prompt: j.prompt, Tokens: len(j.output), Next: j.emitted}
	e.endJob(j, OutcomeMoved, time.Now())
	return c.JSON(kv)
}

// handleImport continues a run that another engine has exported.
func (e *Engine) handleImport(c fiber.Ctx) error {
	var w wireKV
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return sendError(c, fiber.StatusBadRequest, "invalid_request", err.Error())
	}
	now := time.Now()
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	if !slices.Contains(e.orders.versions, w.Model) {
		return sendError(c, fiber.StatusServiceUnavailable, "not_admitted", "model "+strconv.Quote(w.Model)+" is not served now")
	}
	if e.jobs[w.RequestID] != nil {
		return sendError(c, fiber.StatusConflict, "known_request", "the run is here already")
	}
	j := &job{
		id:           w.RequestID,
		version:      w.Model,
		prompt:       w.Prompt,
		output:       Output(w.Prompt, w.Tokens),
		promptTokens: PromptTokens(w.Prompt),
		emitted:      w.Next,
		detachedAt:   now,
	}
	j.prefilled = j.promptTokens
	j.cachedTokens = j.promptTokens
	j.run = e.Ledger.start(Run{
		RequestID:    w.RequestID,
		Key:          w.Key,
		Version:      w.Model,
		Endpoint:     string(e.ID),
		Started:      now,
		PromptTokens: j.promptTokens,
		Continued:    true,
	})
	e.addJob(j)
	e.batch.running = append(e.batch.running, j)
	e.signalWork()
	return c.JSON(fiber.Map{"request_id": w.RequestID, "next": w.Next})
}
