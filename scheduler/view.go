package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// View is what the scheduler takes an endpoint to be.
type View struct {
	Endpoint
	// Running are this host's runs, Others those of other hosts by their last words.
	Running     int
	PeerRunning int
	// PendingPrompt is the number of prompt tokens that the endpoint has yet to read.
	PendingPrompt dotterelpulley.Tokens
	// EventInterval is the time between two events, Reading that per prompt token; zero if not learned.
	EventInterval   time.Duration
	PrefillPerToken time.Duration
	// BlockedFor is how much longer the endpoint gets nothing.
	BlockedFor time.Duration
}

// Views returns all endpoints by service and id.
func (s *Scheduler) Views(now time.Time) []View {
	var views []View
	for _, id := range s.Services() {
		for _, e := range s.services[id].order {
			views = append(views, View{
				Endpoint: e.Endpoint, Running: e.running, PeerRunning: e.others.Running, PendingPrompt: e.prompt + e.others.Prompt,
				EventInterval: e.pace, PrefillPerToken: e.reading, BlockedFor: max(e.barred.Sub(now), 0),
			})
		}
	}
	return views
}
