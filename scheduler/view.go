package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// View is the scheduler's state of an endpoint.
type View struct {
	Endpoint
	// Running counts this host's runs, PeerRunning those of other hosts by their last reports.
	Running     int
	PeerRunning int
	// PendingPrompt is the number of prompt tokens that the endpoint still has to prefill.
	PendingPrompt dotterelpulley.Tokens
	// EventInterval is the average time between two events, PrefillPerToken the average prefill time per prompt token; zero if unknown.
	EventInterval   time.Duration
	PrefillPerToken time.Duration
	// BlockedFor is the time until the endpoint may get work again.
	BlockedFor time.Duration
}

// Views returns the state of all endpoints, by service and id.
func (s *Scheduler) Views(now time.Time) []View {
	var views []View
	for _, id := range s.Services() {
		for _, e := range s.services[id].sorted {
			views = append(views, View{
				Endpoint: e.Endpoint, Running: e.running, PeerRunning: e.peerLoad.Running, PendingPrompt: e.pendingPrompt + e.peerLoad.Prompt,
				EventInterval: e.interval(), PrefillPerToken: e.prefill(), BlockedFor: max(e.blockedUntil.Sub(now), 0),
			})
		}
	}
	return views
}
