package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// hungAt is when the cut begins: the machines' budgets of retries are full then. It is shorter than the patience of the requesters,
	// which is four times the objective.
	hungAt     = 25 * time.Second
	hungFor    = 2 * time.Second
	hungUntil  = 40 * time.Second
	objective  = time.Second
	patience   = 4 * objective
	routeLimit = 15 * time.Second
	// allowedLosses is how many requests a machine may lose without breaking the rule.
	allowedLosses = 3

	hungServers    = 5
	hungRequesters = 36
	// otherRequesters are those at the other machine.
	otherRequesters = 6
	streamEvents    = 30
)

// playHungStreams cuts one of two machines off from all servers for two seconds. Its channels to them hang and live on, and all
// servers, the store, the requesters and the other machine are sound.
func playHungStreams(with setup, record *os.File) (broken bool, err error) {
	s := newSite()
	defer s.close()
	for i := range hungServers {
		s.servers = append(s.servers, &server{
			id: fmt.Sprintf("i-%d", i+1), service: modelService, slots: 11, queue: 66, book: s.book,
			events: streamEvents, firstAfter: 100 * time.Millisecond, interval: 100 * time.Millisecond,
		})
	}
	if err := s.start(with, hungConfiguration()); err != nil {
		return false, err
	}
	s.book.start = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var requesters sync.WaitGroup
	for i := range hungRequesters + otherRequesters {
		m := s.machines[0]
		if i >= hungRequesters {
			m = s.machines[1]
		}
		q := &requester{
			name: fmt.Sprintf("r%d", i+1), machine: m.name, address: m.address(callerPort), book: s.book,
			timeLimit: routeLimit, patience: patience, pause: 300 * time.Millisecond, events: streamEvents,
		}
		requesters.Go(func() { q.run(ctx) })
	}
	time.Sleep(time.Until(s.book.start.Add(hungAt)))
	if with.trouble {
		if err := s.cutFor(0, hungFor, record); err != nil {
			stop()
			return false, err
		}
	}
	time.Sleep(time.Until(s.book.start.Add(hungUntil)))
	stop()
	requesters.Wait()
	return s.book.judgeLosses(record, func(string, time.Time, time.Time) bool { return true }), nil
}

// cutFor cuts the machine off from all servers for the time.
func (s *site) cutFor(machine int, length time.Duration, record *os.File) error {
	fmt.Fprintf(record, "%s s: %s is cut off from all servers\n", s.book.seconds(time.Now()), s.machines[machine].name)
	if err := s.cut(machine); err != nil {
		return err
	}
	time.Sleep(length)
	if err := s.heal(machine); err != nil {
		return err
	}
	fmt.Fprintf(record, "%s s: the cut is healed\n", s.book.seconds(time.Now()))
	return nil
}

// judgeLosses writes all requests and reports whether more than the allowed number were passed on to a sound server from a kept
// channel that the machine then closed without a whole answer.
func (b *book) judgeLosses(record *os.File, isSound soundness) (broken bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	served, left, lost, failed, wrong := 0, 0, 0, 0, 0
	for _, r := range b.requests {
		verdict := ""
		switch {
		case r.wrong != "":
			wrong++
			verdict = "WRONG: " + r.wrong
		case r.whole && r.status == 200:
			served++
			verdict = "served"
		case r.left:
			left++
			verdict = "the requester left"
		case r.closed && r.kept && b.ranAtSound(r, isSound):
			lost++
			verdict = "LOST: it was passed on to a sound server, and the machine closed the channel without a whole answer"
		default:
			failed++
			verdict = "failed otherwise"
		}
		b.write(record, r, verdict)
	}
	summary := fmt.Sprintf("%d requests: %d served, %d given up by requesters, %d failed otherwise, %d with wrong events, %d lost (%d are allowed)\n",
		len(b.requests), served, left, failed, wrong, lost, allowedLosses)
	fmt.Fprint(record, summary)
	fmt.Print(summary)
	return lost > allowedLosses
}

// ranAtSound reports whether the server that got the request first was sound and began to work on it.
func (b *book) ranAtSound(r request, isSound soundness) bool {
	arrivals := b.arrivals[r.id]
	return len(arrivals) > 0 && arrivals[0].ran && isSound(arrivals[0].server, r.sentAt, r.endedAt)
}

// hungConfiguration has one route of streams that may go on at another server.
func hungConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "advice", "host": siteHost, "path_prefix": path, "kind": "streaming", "service": modelService, "timeout_ms": routeLimit.Milliseconds(),
			"target_latency_ms": objective.Milliseconds(), "gap_target_ms": 250, "max_attempts": 2, "priority": 1, "resumable": true, "sticky": true,
		}},
		"services": []any{map[string]any{"name": modelService, "max_conns": 370, "health_path": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{key}}},
	}
}
