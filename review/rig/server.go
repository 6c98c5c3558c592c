package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// removedAfter is three intervals of silence.
	removedAfter = 3 * heartbeat
)

// serverSpec describes the servers of one service.
type serverSpec struct {
	service string
	version string
	zone    string
	slots   int
	queue   int
	// respond answers a request that has a slot; it is nil for a plain answer after workTime.
	respond  func(s *server, w http.ResponseWriter, r *http.Request, body []byte)
	workTime time.Duration
}

// server is a stand-in of one start of a server.
type server struct {
	serverSpec
	id      string
	born    time.Time
	site    *site
	address string

	listener *trackingListener
	http     *http.Server
	slot     chan struct{}
	mutex    sync.Mutex
	running  int
	waiting  int
	state    string
	// sequence counts what the server has written since its start.
	sequence int
	stop     context.CancelFunc
	crashed  bool
}

// trackingListener keeps the accepted connections, to reset them as the end of a process does.
type trackingListener struct {
	net.Listener
	mutex sync.Mutex
	conns map[net.Conn]bool
}

func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	l.conns[c] = true
	l.mutex.Unlock()
	return c, nil
}

func (l *trackingListener) resetAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (st *site) startServer(spec serverSpec, id, address string) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(st.ctx)
	s := &server{
		serverSpec: spec, id: id, born: time.Now(), site: st, address: listener.Addr().String(),
		listener: &trackingListener{Listener: listener, conns: map[net.Conn]bool{}},
		slot:     make(chan struct{}, spec.slots), state: "ready", stop: cancel,
	}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(s.listener)
	s.register()
	go s.beat(ctx)
	return s, nil
}

func (s *server) register() {
	s.mutex.Lock()
	s.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": s.state, "cold_left_ms": 0, "seq": s.sequence, "born": s.born.UnixMilli(),
	})
	s.mutex.Unlock()
	if !s.site.store.isAway() {
		s.site.store.put(topicServers, s.id, entry)
	}
}

func (s *server) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.register()
		}
	}
}

// crash ends the server as the end of its process does; its entry lapses later.
func (s *server) crash() {
	s.mutex.Lock()
	if s.crashed {
		s.mutex.Unlock()
		return
	}
	s.crashed = true
	s.mutex.Unlock()
	s.stop()
	s.listener.Close()
	s.listener.resetAll()
	s.site.note("server %s ends", s.id)
	time.AfterFunc(removedAfter, func() {
		if !s.site.store.isAway() {
			s.site.store.remove(topicServers, s.id)
		}
	})
}

// drain reports that the server leaves, serves on for the time, and exits.
func (s *server) drain(lingers time.Duration) {
	s.mutex.Lock()
	s.state = "draining"
	s.mutex.Unlock()
	s.register()
	time.AfterFunc(lingers, s.exit)
}

// exit ends the process of a server that has drained; its entry goes at once.
func (s *server) exit() {
	s.crash()
	if !s.site.store.isAway() {
		s.site.store.remove(topicServers, s.id)
	}
}

func (s *server) load() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

func (s *server) notExecuted(w http.ResponseWriter, status int) {
	w.Header().Set("Dotterelpulley-Not-Executed", "1")
	w.WriteHeader(status)
}

// takeSlot waits for a slot and reports whether the request got one.
func (s *server) takeSlot(ctx context.Context) (ok, full bool) {
	s.mutex.Lock()
	if s.running+s.waiting >= s.slots+s.queue {
		s.mutex.Unlock()
		return false, true
	}
	s.waiting++
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.waiting--
		if ok {
			s.running++
		}
		s.mutex.Unlock()
	}()
	select {
	case s.slot <- struct{}{}:
		return true, false
	case <-ctx.Done():
		return false, false
	}
}

func (s *server) giveSlot() {
	<-s.slot
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Dotterelpulley-Instance-Id", s.id)
	h.Set("Dotterelpulley-Server-Load", s.load())
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if r.URL.Path == "/api/report" {
		http.NotFound(w, r)
		return
	}
	id := r.Header.Get("Dotterelpulley-Attempt-Id")
	if id != "" {
		h.Set("Dotterelpulley-Attempt-Id", id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.site.ledger.arrived(id, s, r)
	if expected := r.Header.Get("Dotterelpulley-Expect-Instance"); expected != "" && expected != s.id {
		s.notExecuted(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		s.notExecuted(w, http.StatusBadRequest)
		return
	}
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if ms, err := strconv.Atoi(r.Header.Get("Dotterelpulley-Deadline-Ms")); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	defer cancel()
	ok, full := s.takeSlot(ctx)
	if !ok {
		if full || ctx.Err() == context.DeadlineExceeded {
			s.notExecuted(w, http.StatusServiceUnavailable)
		}
		return
	}
	defer s.giveSlot()
	s.site.ledger.runs(id, s, r)
	h.Set("Dotterelpulley-Response-Stamp", "stamp."+s.id+"."+id)
	if s.respond != nil {
		s.respond(s, w, r.WithContext(ctx), body)
		return
	}
	s.respondPlain(w, r.WithContext(ctx))
}

func (s *server) respondPlain(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(s.workTime):
	case <-r.Context().Done():
		if r.Context().Err() == context.DeadlineExceeded {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	fmt.Fprintf(w, "done by %s: %s\n", s.id, r.URL.RequestURI())
}
