package scheduler

import (
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// View is what the scheduler takes an endpoint to be.
type View struct {
	Endpoint
	// Running are this host's runs, Others those of other hosts by their last words.
	Running int
	Others  int
	// Unread is the number of prompt tokens that the endpoint has yet to read.
	Unread dotterelpulley.Tokens
	// Pace is the time between two events, Reading that per prompt token; zero if not learned.
	Pace    time.Duration
	Reading time.Duration
	// Barred is how much longer the endpoint gets nothing.
	Barred time.Duration
}

// Views returns all endpoints by service and id.
func (s *Scheduler) Views(now time.Time) []View {
	var views []View
	for _, id := range s.Services() {
		for _, e := range s.services[id].order {
			views = append(views, View{
				Endpoint: e.Endpoint, Running: e.running, Others: e.others.Running, Unread: e.prompt + e.others.Prompt,
				Pace: e.pace, Reading: e.reading, Barred: max(e.barred.Sub(now), 0),
			})
		}
	}
	return views
}
