package controller

import (
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"

	"github.com/dotterelpulley/dotterelpulley/budgeter"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	operatorReadTimeout = 5 * time.Second
	// maxOperatorBody limits the body of an operator's request, none of which has one, in bytes.
	maxOperatorBody = 16 << 10
)

// operatorServer serves health, counters and status.
type operatorServer struct {
	app *fiber.App
	// clients limits what all clients together make the process hold.
	clients budgeter.Budget
}

type wireStatus struct {
	Host    string     `json:"host"`
	Leading bool       `json:"leading"`
	Active  bool       `json:"active"`
	Holder  string     `json:"holder"`
	Fence   int64      `json:"fence"`
	Moves   []wireMove `json:"moves"`
}

type wireMove struct {
	Move     string  `json:"move"`
	State    string  `json:"state"`
	Step     int     `json:"step"`
	Share    float64 `json:"share"`
	TimeLeft string  `json:"time-left"`
	Requests int     `json:"requests"`
	Bad      bool    `json:"bad"`
	Reason   string  `json:"reason"`
}

func (o *operatorServer) start(c *Controller) error {
	o.app = fiber.New(fiber.Config{ReadTimeout: operatorReadTimeout, BodyLimit: maxOperatorBody})
	o.app.Get("/healthz", func(r fiber.Ctx) error { return r.SendString("ok\n") })
	o.app.Get("/readyz", func(r fiber.Ctx) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.follower.Ready() {
			return r.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
		}
		return r.SendString("ready\n")
	})
	o.app.Get("/v1/status", func(r fiber.Ctx) error { return r.JSON(c.status()) })
	o.app.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	listener, err := net.Listen("tcp", string(c.settings.Operators))
	if err != nil {
		return fmt.Errorf("listen on %q: %w", c.settings.Operators, err)
	}
	budgeter.ObserveFast(o.app.Server())
	limited := &budgeter.Listener{
		Listener: listener, Budget: &o.clients, WholeRequests: true, BodyBytes: maxOperatorBody,
		Busy: budgeter.EncodeResponse(http.StatusServiceUnavailable, http.Header{}, nil),
	}
	c.background.Go(func() {
		if err := o.app.Listener(limited, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			c.log.Error().Str("event", "listener-ended").Err(err).Msg("")
		}
	})
	return nil
}

func (o *operatorServer) close() error {
	return o.app.ShutdownWithTimeout(shutdownTimeout)
}

func (c *Controller) status() wireStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	view := c.view()
	status := wireStatus{
		Host:    string(c.settings.Host),
		Leading: c.mover.Leading(view),
		Active:  c.mover.Active(now, view),
		Holder:  string(view.Moves.Lease.Holder),
		Fence:   int64(view.Moves.Lease.Fence),
	}
	for _, m := range view.Moves.Moves {
		status.Moves = append(status.Moves, moveStatus(m, view.Assessments[m.ID].Reason, view.Assessments[m.ID].Requests, now))
	}
	return status
}

func moveStatus(m recorder.Move, assessmentReason string, requests int, now time.Time) wireMove {
	w := wireMove{
		Move:     m.ID.String(),
		State:    m.Phase.String(),
		Step:     m.Number,
		Share:    m.Share,
		TimeLeft: max(0, m.Deadline.Sub(now)).Round(time.Second).String(),
		Requests: requests,
		Bad:      m.Bad,
		Reason:   m.Reason,
	}
	if m.Running() && assessmentReason != "" {
		w.Reason = assessmentReason
	}
	return w
}
