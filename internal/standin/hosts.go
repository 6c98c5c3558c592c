package standin

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// Hosts stands in for the host list; the zero value shows every change at once.
type Hosts struct {
	server
	// Lag is how long a change takes to show.
	Lag time.Duration

	state    sync.Mutex
	versions []hostsVersion
}

// hostsVersion is the list as it became at a time.
type hostsVersion struct {
	since time.Time
	list  wireHosts
}

// Start serves the host list on the address.
func (h *Hosts) Start(address dotterelpulley.Address) error {
	return h.start(address, h.routes)
}

func (h *Hosts) routes(app *fiber.App) {
	app.Get("/v1/hosts", func(c fiber.Ctx) error { return c.JSON(h.visible(time.Now())) })
	app.Put("/standin/hosts", h.handlePut)
	app.Post("/standin/faults", h.handleFaults)
}

func (h *Hosts) handleFaults(c fiber.Ctx) error {
	return takeFaults(c, h.applyFaults)
}

type wireHostsFaults struct {
	wireServerFaults
	Lag *wireDuration `json:"lag"`
}

func (h *Hosts) applyFaults(w wireHostsFaults) error {
	if w.Lag != nil {
		h.state.Lock()
		h.Lag = time.Duration(*w.Lag)
		h.state.Unlock()
	}
	return h.apply(w.wireServerFaults)
}

// wireHostChange sets a host, or takes it off the list when it is gone.
type wireHostChange struct {
	wireHost
	Remove bool `json:"remove"`
}

func (h *Hosts) handlePut(c fiber.Ctx) error {
	var w wireHostChange
	if err := json.Unmarshal(c.Body(), &w); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(fmt.Sprintf("decode host: %v", err))
	}
	if w.ID == "" {
		return c.Status(fiber.StatusBadRequest).SendString("a host needs an id")
	}
	if w.Remove {
		h.Remove(dotterelpulley.HostID(w.ID))
		return c.SendStatus(fiber.StatusNoContent)
	}
	h.Set(w.fromWire())
	return c.SendStatus(fiber.StatusNoContent)
}

// Set puts the host on the list, in the place of one of the same id.
func (h *Hosts) Set(host lister.Host) {
	h.change(host.ID, []wireHost{hostToWire(host)})
}

// Visible returns the hosts as readers see them now.
func (h *Hosts) Visible() []lister.Host {
	var hosts []lister.Host
	for _, w := range h.visible(time.Now()).Hosts {
		hosts = append(hosts, w.fromWire())
	}
	return hosts
}

// Remove takes the host off the list.
func (h *Hosts) Remove(id dotterelpulley.HostID) {
	h.change(id, nil)
}

func (h *Hosts) change(id dotterelpulley.HostID, with []wireHost) {
	h.state.Lock()
	defer h.state.Unlock()
	var last wireHosts
	if n := len(h.versions); n > 0 {
		last = h.versions[n-1].list
	}
	next := wireHosts{Revision: last.Revision + 1}
	for _, host := range last.Hosts {
		if host.ID != string(id) {
			next.Hosts = append(next.Hosts, host)
			continue
		}
		next.Hosts = append(next.Hosts, with...)
		with = nil
	}
	next.Hosts = append(next.Hosts, with...)
	h.versions = append(h.versions, hostsVersion{since: time.Now(), list: next})
}

// visible returns the list as readers see it at the time.
func (h *Hosts) visible(now time.Time) wireHosts {
	h.state.Lock()
	defer h.state.Unlock()
	seen := 0
	for i, v := range h.versions {
		if now.Sub(v.since) >= h.Lag {
			seen = i
		}
	}
	if len(h.versions) == 0 || now.Sub(h.versions[seen].since) < h.Lag {
		return wireHosts{Hosts: []wireHost{}}
	}
	h.versions = h.versions[seen:]
	return h.versions[0].list
}
