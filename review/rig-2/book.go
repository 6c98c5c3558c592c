package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// arrival is a request at a server.
type arrival struct {
	id        string
	server    string
	lastEvent string
	at        time.Time
	// ran means that the server began to work on it, whole that it made the whole answer, failed that it answered with a failure
	// of the run, ended when it stopped.
	ran    bool
	whole  bool
	failed bool
	ended  time.Time
}

// request is a request of a requester with what became of it.
type request struct {
	id      string
	machine string
	sentAt  time.Time
	endedAt time.Time
	// kept means that its channel had carried another request.
	kept   bool
	status int
	stamp  string
	events int
	// whole means that the answer came to its end, closed that the channel ended before that, left that the requester closed it.
	whole  bool
	closed bool
	left   bool
	// wrong says what of the answer isn't the server's.
	wrong string
}

// book holds what was sent, answered and run.
type book struct {
	start time.Time

	mutex    sync.Mutex
	requests []request
	arrivals map[string][]*arrival
}

func newBook() *book {
	return &book{start: time.Now(), arrivals: map[string][]*arrival{}}
}

func (b *book) arrive(id, server, lastEvent string) *arrival {
	a := &arrival{id: id, server: server, lastEvent: lastEvent, at: time.Now()}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.arrivals[id] = append(b.arrivals[id], a)
	return a
}

func (b *book) run(a *arrival) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.ran = true
}

func (b *book) finish(a *arrival) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.whole = true
}

func (b *book) fail(a *arrival) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.failed = true
}

func (b *book) end(a *arrival) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.ended = time.Now()
}

func (b *book) add(r request) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.requests = append(b.requests, r)
}

// seconds returns the time since the start.
func (b *book) seconds(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3f", at.Sub(b.start).Seconds())
}

// write writes one request with its arrivals and a verdict.
func (b *book) write(w io.Writer, r request, verdict string) {
	fmt.Fprintf(w, "%s s: %s sent to %s, kept channel %t; ended %s s: status %d, stamp %q, %d events, whole %t, closed by the machine %t, left %t: %s\n",
		b.seconds(r.sentAt), r.id, r.machine, r.kept, b.seconds(r.endedAt), r.status, r.stamp, r.events, r.whole, r.closed, r.left, verdict)
	for _, a := range b.arrivals[r.id] {
		fmt.Fprintf(w, "    %s s: at server %s after event %q, ran %t, made the whole answer %t, answered with a failure %t, until %s s\n",
			b.seconds(a.at), a.server, a.lastEvent, a.ran, a.whole, a.failed, b.seconds(a.ended))
	}
}
