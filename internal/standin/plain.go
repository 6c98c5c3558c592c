package standin

import (
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/dotterelpulley/dotterelpulley"
)

// Plain simulates an endpoint of a plain service; the zero value responds immediately.
type Plain struct {
	server
	ID      dotterelpulley.EndpointID
	Service dotterelpulley.ServiceID
	Zone    dotterelpulley.ZoneID
	// CallTime is the duration of a call.
	CallTime time.Duration
	// Slots is the maximum number of concurrent calls; 32 if zero.
	Slots int
	// Ledger records the runs.
	Ledger Ledger

	stateMu      sync.Mutex
	running      int
	notAdmitted  bool
	leaving      bool
	crashOn      string
	restartDelay time.Duration
	crashes      int
}

// Start serves the plain service on the address.
func (p *Plain) Start(address dotterelpulley.Address) error {
	return p.start(address, p.routes)
}

func (p *Plain) routes(app *fiber.App) {
	app.Post("/v1/call", p.handleCall)
	app.Get("/v1/load", func(c fiber.Ctx) error { return c.JSON(p.report()) })
	app.Post("/standin/faults", p.handleFaults)
	app.Get("/standin/ledger", p.handleLedger)
}

func (p *Plain) handleFaults(c fiber.Ctx) error {
	return handleFaultRequest(c, p.applyFaults)
}

func (p *Plain) handleLedger(c fiber.Ctx) error {
	return c.JSON(ledgerToWire(p.Ledger.Runs()))
}

// PlainResponse returns the response body of a plain service for the payload.
func PlainResponse(payload string) string {
	return `{"done":"` + digestOf(payload) + `"}`
}

func (p *Plain) report() wireLoad {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	return wireLoad{
		Running:    p.running,
		Slots:      orDefault(p.Slots, defaultSlots),
		Versions:   []string{},
		Role:       roleBoth,
		MeasuredAt: time.Now(),
		Leaving:    p.leaving,
	}
}

func (p *Plain) handleCall(c fiber.Ctx) error {
	payload := string(c.Body())
	if !p.admit() {
		c.Set("Not-Admitted", "true")
		return sendError(c, fiber.StatusServiceUnavailable, "not_admitted", "nothing was started")
	}
	run := p.Ledger.start(Run{
		RequestID: c.Get("Request-Id"),
		Key:       c.Get("Idempotency-Key"),
		Endpoint:  string(p.ID),
		Started:   time.Now(),
	})
	defer p.finish()
	completed := p.sleep(p.callTime())
	if p.shouldCrash(payload) {
		p.endRun(run, OutcomeCrashed, "")
		p.Crash()
		return c.SendStatus(fiber.StatusInternalServerError)
	}
	if !completed {
		p.endRun(run, OutcomeAborted, "")
		return c.SendStatus(fiber.StatusInternalServerError)
	}
	body := PlainResponse(payload)
	p.endRun(run, OutcomeCompleted, body)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.SendString(body)
}

func (p *Plain) endRun(run *Run, outcome Outcome, body string) {
	p.Ledger.update(run, func(r *Run) {
		r.Outcome = outcome
		r.Ended = time.Now()
		r.Digest = digestOf(body)
	})
}

func (p *Plain) callTime() time.Duration {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	return p.CallTime
}

func (p *Plain) admit() bool {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	if p.notAdmitted || p.running >= orDefault(p.Slots, defaultSlots) {
		return false
	}
	p.running++
	return true
}

func (p *Plain) finish() {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	p.running--
}

func (p *Plain) shouldCrash(payload string) bool {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	return p.crashOn != "" && strings.Contains(payload, p.crashOn)
}

// Crash closes all connections; the service restarts after the configured delay, or never if it is zero.
func (p *Plain) Crash() {
	p.stateMu.Lock()
	p.crashes++
	restartDelay := p.restartDelay
	p.stateMu.Unlock()
	p.Stop()
	if restartDelay <= 0 {
		return
	}
	p.tasks.Go(func() {
		if p.sleep(restartDelay) {
			_ = p.Resume()
		}
	})
}

// CrashOn makes the service crash on any payload that contains the text and restart after the delay, or never if it is zero.
func (p *Plain) CrashOn(text string, restartDelay time.Duration) {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	p.crashOn = text
	p.restartDelay = restartDelay
}

// RejectCalls makes the service reject calls without starting them.
func (p *Plain) RejectCalls() {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	p.notAdmitted = true
}

type wirePlainFaults struct {
	wireServerFaults
	Crash       *bool         `json:"crash"`
	CrashOn     *string       `json:"crash-on"`
	CrashReturn *wireDuration `json:"crash-return"`
	CallTime    *wireDuration `json:"call-time"`
	NotAdmitted *bool         `json:"not-admitted"`
	Leaving     *bool         `json:"leaving"`
}

func (p *Plain) applyFaults(w wirePlainFaults) error {
	p.stateMu.Lock()
	setIfPresent(&p.crashOn, w.CrashOn)
	setIfPresent(&p.restartDelay, (*time.Duration)(w.CrashReturn))
	setIfPresent(&p.CallTime, (*time.Duration)(w.CallTime))
	setIfPresent(&p.notAdmitted, w.NotAdmitted)
	setIfPresent(&p.leaving, w.Leaving)
	p.stateMu.Unlock()
	if w.Crash != nil && *w.Crash {
		p.Crash()
	}
	return p.apply(w.wireServerFaults)
}
