package standin

import (
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/dotterelpulley/dotterelpulley"
)

// Plain stands in for a plain service; the zero value answers at once.
type Plain struct {
	server
	ID      dotterelpulley.EndpointID
	Service dotterelpulley.ServiceID
	Zone    dotterelpulley.ZoneID
	// CallTime is how long a call takes.
	CallTime time.Duration
	// Slots is how many calls run at once; 32 if zero.
	Slots int
	// Ledger keeps what ran.
	Ledger Ledger

	state       sync.Mutex
	running     int
	notAdmitted bool
	leaving     bool
	crashOn     string
	crashReturn time.Duration
	crashes     int
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
	return takeFaults(c, p.applyFaults)
}

func (p *Plain) handleLedger(c fiber.Ctx) error {
	return c.JSON(ledgerToWire(p.Ledger.Runs()))
}

// Reply returns the body with which a plain service answers the payload.
func Reply(payload string) string {
	return `{"done":"` + digestOf(payload) + `"}`
}

func (p *Plain) report() wireLoad {
	p.state.Lock()
	defer p.state.Unlock()
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
		return fail(c, fiber.StatusServiceUnavailable, "not_admitted", "nothing was started")
	}
	run := p.Ledger.start(Run{
		RequestID: c.Get("Request-Id"),
		Key:       c.Get("Idempotency-Key"),
		Endpoint:  string(p.ID),
		Started:   time.Now(),
	})
	defer p.finish()
	whole := p.pause(p.callTime())
	if p.crashesOn(payload) {
		p.endRun(run, OutcomeCrashed, "")
		p.Crash()
		return c.SendStatus(fiber.StatusInternalServerError)
	}
	if !whole {
		p.endRun(run, OutcomeCut, "")
		return c.SendStatus(fiber.StatusInternalServerError)
	}
	body := Reply(payload)
	p.endRun(run, OutcomeWhole, body)
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
	p.state.Lock()
	defer p.state.Unlock()
	return p.CallTime
}

func (p *Plain) admit() bool {
	p.state.Lock()
	defer p.state.Unlock()
	if p.notAdmitted || p.running >= orDefault(p.Slots, defaultSlots) {
		return false
	}
	p.running++
	return true
}

func (p *Plain) finish() {
	p.state.Lock()
	defer p.state.Unlock()
	p.running--
}

func (p *Plain) crashesOn(payload string) bool {
	p.state.Lock()
	defer p.state.Unlock()
	return p.crashOn != "" && strings.Contains(payload, p.crashOn)
}

// Crash drops all connections, and comes back after the time that the faults give, or never.
func (p *Plain) Crash() {
	p.state.Lock()
	p.crashes++
	back := p.crashReturn
	p.state.Unlock()
	p.Stop()
	if back <= 0 {
		return
	}
	p.tasks.Go(func() {
		if p.pause(back) {
			_ = p.Resume()
		}
	})
}

// CrashOn makes the service crash on any payload with the text, to come back after the given time, or never if zero.
func (p *Plain) CrashOn(text string, back time.Duration) {
	p.state.Lock()
	defer p.state.Unlock()
	p.crashOn = text
	p.crashReturn = back
}

// NotAdmit makes the service refuse calls before they start.
func (p *Plain) NotAdmit() {
	p.state.Lock()
	defer p.state.Unlock()
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
	p.state.Lock()
	set(&p.crashOn, w.CrashOn)
	set(&p.crashReturn, (*time.Duration)(w.CrashReturn))
	set(&p.CallTime, (*time.Duration)(w.CallTime))
	set(&p.notAdmitted, w.NotAdmitted)
	set(&p.leaving, w.Leaving)
	p.state.Unlock()
	if w.Crash != nil && *w.Crash {
		p.Crash()
	}
	return p.apply(w.wireServerFaults)
}
