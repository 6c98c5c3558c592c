package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// server is a sound model server. It streams the events of each request, goes on after Last-Event-Id, turns away what it has no
// room for, and drops a request when its channel closes.
type server struct {
	id      string
	service string
	address string
	slots   int
	queue   int
	// events are those of a whole answer; the first one comes after firstAfter, each other one after interval.
	events     int
	firstAfter time.Duration
	interval   time.Duration
	// work is how long a plain answer takes; zero for a server that streams.
	work time.Duration
	// failing is the share of the requests that fail, failAfter when they do.
	failing   atomic.Uint64
	failAfter time.Duration
	// silentUntil is until when the server sends nothing, in Unix nanoseconds.
	silentUntil atomic.Int64

	book    *book
	http    *http.Server
	born    time.Time
	written atomic.Int64
	load    atomic.Int64
}

func (s *server) start() error {
	listener, err := net.Listen("tcp", nextAddress())
	if err != nil {
		return err
	}
	s.address, s.born = listener.Addr().String(), time.Now()
	s.http = &http.Server{Handler: s, IdleTimeout: 20 * time.Second}
	go serveUntilClosed(s.http, listener)
	return nil
}

func (s *server) close() {
	_ = s.http.Close() // Its callers have ended.
}

// registration returns the next record that the server writes to the store.
func (s *server) registration() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_left_ms": 0, "born": s.born.UnixMilli(), "seq": s.written.Add(1),
	}
}

// atAddress returns the registration with another address.
func atAddress(registration []byte, address string) []byte {
	var fields map[string]any
	if err := json.Unmarshal(registration, &fields); err != nil {
		panic(err)
	}
	fields["address"] = address
	return encode(fields)
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// ServeHTTP answers a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Dotterelpulley-Attempt-Id")
	w.Header().Set("Dotterelpulley-Attempt-Id", id)
	w.Header().Set("Dotterelpulley-Server-Load", fmt.Sprintf("%d,0,%d", s.load.Load(), s.slots))
	a := s.book.arrive(id, s.id, r.Header.Get("Last-Event-Id"))
	defer s.book.end(a)
	if expected := r.Header.Get("Dotterelpulley-Expect-Instance"); expected != "" && expected != s.id {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	defer s.load.Add(-1)
	if s.load.Add(1) > int64(s.slots+s.queue) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	s.book.run(a)
	if s.work > 0 {
		s.answer(w, r, a)
		return
	}
	s.stream(w, r, a)
}

// fail answers that the run has failed.
func (s *server) fail(w http.ResponseWriter, r *http.Request, a *arrival) {
	if !s.wait(r.Context(), s.failAfter) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusInternalServerError)
	s.book.fail(a)
}

// answer gives a plain answer.
func (s *server) answer(w http.ResponseWriter, r *http.Request, a *arrival) {
	if !s.wait(r.Context(), s.work) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Dotterelpulley-Response-Stamp", s.id+"."+a.id)
	if _, err := fmt.Fprintf(w, "answer to %s", a.id); err != nil {
		return
	}
	s.book.finish(a)
}

// refuse answers that the request hasn't run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Dotterelpulley-Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, a *arrival) {
	last, err := strconv.Atoi(a.lastEvent)
	if err != nil {
		last = 0
	}
	w.Header().Set("Dotterelpulley-Response-Stamp", s.id+"."+a.id)
	if rand.Float64() < math.Float64frombits(s.failing.Load()) {
		s.fail(w, r, a)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	pause := s.firstAfter
	for n := last + 1; n <= s.events; n++ {
		if !s.wait(r.Context(), pause) {
			panic(http.ErrAbortHandler)
		}
		pause = s.interval
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(a.id, n)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
	s.book.finish(a)
}

// wait waits for the pause and until the server is no longer silent, and reports whether the channel is still open.
func (s *server) wait(ctx context.Context, pause time.Duration) bool {
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return false
		}
		if pause = time.Until(time.Unix(0, s.silentUntil.Load())); pause <= 0 {
			return true
		}
	}
}

// eventData returns the data of an event of the answer to a request.
func eventData(id string, number int) string {
	return fmt.Sprintf("%s-%d", id, number)
}
