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

// Hosts simulates the host list service; with the zero value, changes are visible immediately.
type Hosts struct {
	server
	// Lag is the delay until a change is visible.
	Lag time.Duration

	stateMu  sync.Mutex
	versions []hostsVersion
}

// hostsVersion is the list as of a change.
type hostsVersion struct {
	changedAt time.Time
	list      wireHosts
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
	return handleFaultRequest(c, h.applyFaults)
}

type wireHostsFaults struct {
	wireServerFaults
	Lag *wireDuration `json:"lag"`
}

func (h *Hosts) applyFaults(w wireHostsFaults) error {
	if w.Lag != nil {
		h.stateMu.Lock()
		h.Lag = time.Duration(*w.Lag)
		h.stateMu.Unlock()
	}
	return h.apply(w.wireServerFaults)
}

// wireHostChange sets a host, or removes it from the list.
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

// Set adds the host to the list or replaces the one with the same ID.
func (h *Hosts) Set(host lister.Host) {
	h.replace(host.ID, []wireHost{hostToWire(host)})
}

// Visible returns the hosts that clients currently see.
func (h *Hosts) Visible() []lister.Host {
	var hosts []lister.Host
	for _, w := range h.visible(time.Now()).Hosts {
		hosts = append(hosts, w.fromWire())
	}
	return hosts
}

// Remove removes the host from the list.
func (h *Hosts) Remove(id dotterelpulley.HostID) {
	h.replace(id, nil)
}

func (h *Hosts) replace(id dotterelpulley.HostID, replacement []wireHost) {
	h.stateMu.Lock()
	defer h.stateMu.Unlock()
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
		next.Hosts = append(next.Hosts, replacement...)
		replacement = nil
	}
	next.Hosts = append(next.Hosts, replacement...)
	h.versions = append(h.versions, hostsVersion{changedAt: time.Now(), list: next})
}

// visible returns the list that clients see at the time and drops older versions.
func (h *Hosts) visible(now time.Time) wireHosts {
	h.stateMu.Lock()
	defer h.stateMu.Unlock()
	newest := 0
	for i, v := range h.versions {
		if now.Sub(v.changedAt) >= h.Lag {
			newest = i
		}
	}
	if len(h.versions) == 0 || now.Sub(h.versions[newest].changedAt) < h.Lag {
		return wireHosts{Hosts: []wireHost{}}
	}
	h.versions = h.versions[newest:]
	return h.versions[0].list
}
