package entry

import (
	"expvar"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
)

type wireStatus struct {
	Host      string         `json:"host"`
	Zone      string         `json:"zone"`
	Revision  int64          `json:"revision"`
	Ready     bool           `json:"ready"`
	Draining  bool           `json:"draining"`
	Live      int            `json:"live-requests"`
	Entries   int            `json:"entry-hosts"`
	Endpoints []wireEndpoint `json:"endpoints"`
}

type wireEndpoint struct {
	ID       string   `json:"id"`
	Service  string   `json:"service"`
	State    string   `json:"state"`
	Versions []string `json:"versions"`
}

// maxOperatorBody limits the body of an operator's request, none of which has one, in bytes.
const maxOperatorBody = 16 << 10

func (e *Entry) operatorApp() *fiber.App {
	app := fiber.New(fiber.Config{ReadTimeout: readTimeout, BodyLimit: maxOperatorBody})
	app.Use(markReceived)
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", e.handleReady)
	app.Get("/v1/status", e.handleStatus)
	app.Post("/v1/drain", func(c fiber.Ctx) error {
		e.beginDrain()
		return c.SendStatus(fiber.StatusAccepted)
	})
	app.Get("/debug/vars", adaptor.HTTPHandler(expvar.Handler()))
	return app
}

func (e *Entry) handleReady(c fiber.Ctx) error {
	if !e.ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (e *Entry) handleStatus(c fiber.Ctx) error {
	status := wireStatus{
		Host:     string(e.settings.Host),
		Zone:     string(e.settings.Zone),
		Revision: int64(e.logState.revision()),
		Ready:    e.ready(),
		Draining: e.draining.Load(),
		Live:     e.runs.active(),
		Entries:  len(e.endpoints.entryHosts()),
	}
	for _, endpoint := range e.endpoints.all() {
		w := wireEndpoint{ID: string(endpoint.ID), Service: string(endpoint.Service), State: endpoint.State.String()}
		for _, v := range endpoint.Versions {
			w.Versions = append(w.Versions, string(v))
		}
		status.Endpoints = append(status.Endpoints, w)
	}
	return c.JSON(status)
}
