package gateway

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/describer"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// statePath serves the host's state to operators, on the metrics address.
const statePath = "/state"

// describe returns the host's current view of itself, other hosts, endpoints, caps and retry budgets.
func (g *Gateway) describe(now time.Time) describer.Host {
	self := g.peers.self()
	h := describer.Host{
		ID: self.ID, Zone: self.Zone, State: g.hostState().String(), ReadsStore: g.mustReadStore(now), StoreLost: g.storeAccess.isLost(now),
	}
	if t := g.table.Load(); t != nil {
		h.Configuration = t.Version
	}
	if age, ok := g.freshness.age(); ok {
		h.SinceConfirmed = age
	}
	for _, m := range g.peers.liveHosts(now) {
		h.Members = append(h.Members, describer.Member{
			ID: m.ID, Zone: m.Zone, State: m.State.String(), SinceHeard: now.Sub(m.LastHeard), Configuration: m.Configuration,
		})
	}
	g.queue.access(func(now time.Time, s *scheduler.Scheduler) {
		for _, v := range s.Views(now) {
			h.Endpoints = append(h.Endpoints, describer.Endpoint{
				ID: v.ID, Service: v.Service, Address: v.Address, State: v.State.String(), Slots: v.Slots,
				Running: v.Running, PeerRunning: v.PeerRunning, PendingPrompt: v.PendingPrompt, EventInterval: v.EventInterval, PrefillPerToken: v.PrefillPerToken, BlockedFor: v.BlockedFor,
			})
		}
	})
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, v := range g.rationer.CapStatuses(now) {
		h.Caps = append(h.Caps, describer.Cap{
			Organisation: v.Organisation, Level: float64(v.Allowed - v.Used), Used: float64(v.Used), Allowed: float64(v.Allowed),
		})
	}
	for id, available := range g.retryBudget.Available(now) {
		h.RetryBudgets = append(h.RetryBudgets, describer.RetryBudget{Service: id, Available: available, Burst: g.retryBudget.MostSaved()})
	}
	slices.SortFunc(h.RetryBudgets, func(a, b describer.RetryBudget) int { return cmp.Compare(a.Service, b.Service) })
	return h
}

func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	data, err := describer.Encode(g.describe(time.Now()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(data); err != nil {
		g.event(log.DebugLevel, "state-unsent").Err(err).Msg("")
	}
}
