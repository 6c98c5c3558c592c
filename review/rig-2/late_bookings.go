package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bookingService   = "app"
	bookingPath      = "/dispatch/"
	bookingLimit     = time.Second
	bookingObjective = 150 * time.Millisecond
	bookingWork      = 30 * time.Millisecond
	bookingServers   = 3
	bookers          = 40
	// leaveShare is the share of the requests that their requesters give up, within half the objective, while a server is dark.
	leaveShare = 0.3
	// One server is dark for darkFor, again and again.
	darkFrom    = 5 * time.Second
	darkFor     = 4500 * time.Millisecond
	darkPause   = 5 * time.Second
	darkWindows = 8
	// lateAfter is how long after its requester has left a request counts as late, allowedLate how many may be.
	lateAfter   = 500 * time.Millisecond
	allowedLate = 9
)

// booker sends one booking, which may run once, after the other, and gives up some.
type booker struct {
	name    string
	machine *machine
	book    *book
	// leaving means that some requests are given up early.
	leaving *atomic.Bool
	client  http.Client
	sent    int
}

func (q *booker) run(ctx context.Context) {
	q.client.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}
	defer q.client.CloseIdleConnections()
	for ctx.Err() == nil {
		q.send()
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(300*time.Millisecond)))
	}
}

func (q *booker) send() {
	q.sent++
	s := request{id: fmt.Sprintf("%s-%d", q.name, q.sent), machine: q.machine.name, sentAt: time.Now()}
	limit := bookingLimit + time.Second
	if q.leaving.Load() && rand.Float64() < leaveShare {
		limit = time.Duration((0.2 + 0.8*rand.Float64()) * float64(bookingObjective) / 2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.machine.address(callerPort)+bookingPath+"x", strings.NewReader("booking "+s.id))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Host = siteHost
	r.Header.Set("Dotterelpulley-Attempt-Id", s.id)
	r.Header.Set("Dotterelpulley-Deadline-Ms", strconv.FormatInt(bookingLimit.Milliseconds(), 10))
	r.Header.Set("Api-Key", key)
	response, err := q.client.Do(r)
	if err == nil {
		s.status, s.stamp = response.StatusCode, response.Header.Get("Dotterelpulley-Response-Stamp")
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	s.endedAt = time.Now()
	s.whole, s.left = err == nil, err != nil && ctx.Err() != nil
	s.closed = err != nil && !s.left
	q.book.add(s)
}

// playLateBookings makes one of three servers dark, again and again, and meanwhile some requesters leave early.
func playLateBookings(with setup, record *os.File) (broken bool, err error) {
	s := newSite()
	defer s.close()
	for i := range bookingServers {
		s.servers = append(s.servers, &server{id: fmt.Sprintf("i-%d", i+1), service: bookingService, slots: 6, queue: 24, book: s.book, work: bookingWork})
	}
	if err := s.start(with, bookingConfiguration()); err != nil {
		return false, err
	}
	s.book.start = time.Now()
	ctx, stop := context.WithCancel(context.Background())
	var requesters sync.WaitGroup
	var leaving atomic.Bool
	for i := range bookers {
		q := &booker{name: fmt.Sprintf("b%d", i+1), machine: s.machines[i%machineCount], book: s.book, leaving: &leaving}
		requesters.Go(func() { q.run(ctx) })
	}
	time.Sleep(darkFrom)
	for window := range darkWindows {
		leaving.Store(true)
		if with.trouble {
			err = s.darken(s.servers[window%bookingServers], record)
		} else {
			time.Sleep(darkFor)
		}
		leaving.Store(false)
		if err != nil {
			break
		}
		time.Sleep(darkPause)
	}
	stop()
	requesters.Wait()
	return s.book.judgeLateBookings(record), err
}

// darken makes a server dark for all machines for some time: nothing comes from it, and no new channel to it opens.
func (s *site) darken(dark *server, record *os.File) error {
	fmt.Fprintf(record, "%s s: server %s is dark\n", s.book.seconds(time.Now()), dark.id)
	for _, l := range s.links[dark.id] {
		if err := l.cut(); err != nil {
			return err
		}
	}
	time.Sleep(darkFor)
	for _, l := range s.links[dark.id] {
		if err := l.heal(); err != nil {
			return err
		}
	}
	fmt.Fprintf(record, "%s s: server %s is back\n", s.book.seconds(time.Now()), dark.id)
	return nil
}

// judgeLateBookings writes all requests and reports whether too many reached a server long after their requesters had left.
func (b *book) judgeLateBookings(record *os.File) (broken bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	left, late := 0, 0
	for _, r := range b.requests {
		verdict := "answered"
		if r.left {
			left++
			verdict = "the requester left"
			for _, a := range b.arrivals[r.id] {
				if after := a.at.Sub(r.endedAt); after > lateAfter {
					late++
					verdict = fmt.Sprintf("LATE: it reached a server %.3f s after its requester had left", after.Seconds())
				}
			}
		}
		b.write(record, r, verdict)
	}
	summary := fmt.Sprintf("%d requests: %d given up before their answer, %d reached a server more than %s later (%d are allowed)\n", len(b.requests), left, late, lateAfter, allowedLate)
	fmt.Fprint(record, summary)
	fmt.Print(summary)
	return late > allowedLate
}

// bookingConfiguration has one route of bookings, which may run once.
func bookingConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "dispatch", "host": siteHost, "path_prefix": bookingPath, "kind": "non_idempotent", "service": bookingService,
			"timeout_ms": bookingLimit.Milliseconds(), "target_latency_ms": bookingObjective.Milliseconds(), "max_attempts": 1, "priority": 2,
		}},
		"services": []any{map[string]any{"name": bookingService, "max_conns": 96, "health_path": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{key}}},
	}
}
