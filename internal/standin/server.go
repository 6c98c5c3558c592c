package standin

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	controlPrefix   = "/standin/"
	maxBody         = 64 << 20
	relistenPause   = 10 * time.Millisecond
	relistenTries   = 200
	defaultListenOn = "127.0.0.1:0"
)

// server is what all stand-ins share: a listener, its connections and the faults of both.
type server struct {
	mu       sync.Mutex
	bound    dotterelpulley.Address
	listener net.Listener
	conns    map[*conn]struct{}
	// mute are silent connections that the server has done with.
	mute        []net.Conn
	delay       time.Duration
	loseAnswers int
	lost        int
	done        chan struct{}
	closed      bool
	open        sync.WaitGroup
	tasks       conc.WaitGroup
	http        fasthttp.Server
}

// Address returns the address that the stand-in listens on.
func (s *server) Address() dotterelpulley.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bound
}

// start serves the routes on the address; port 0 takes a free one.
func (s *server) start(address dotterelpulley.Address, routes func(*fiber.App)) error {
	if address == "" {
		address = defaultListenOn
	}
	ln, err := net.Listen("tcp", string(address))
	if err != nil {
		return fmt.Errorf("listen on %q: %w", address, err)
	}
	app := fiber.New(fiber.Config{Immutable: true, UnescapePath: true, BodyLimit: maxBody})
	routes(app)
	handle := app.Handler()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound = dotterelpulley.Address(ln.Addr().String())
	s.conns = map[*conn]struct{}{}
	s.done = make(chan struct{})
	s.http.Handler = func(ctx *fasthttp.RequestCtx) { s.handle(ctx, handle) }
	s.http.MaxRequestBodySize = maxBody
	s.http.NoDefaultServerHeader = true
	s.http.Logger = quiet{}
	s.http.ConnState = s.countOpen
	s.serve(ln)
	return nil
}

// serve takes connections from the listener until it closes; s.mu is held.
func (s *server) serve(ln net.Listener) {
	s.listener = ln
	s.tasks.Go(func() {
		_ = s.http.Serve(&listener{Listener: ln, server: s})
	})
}

// countOpen counts a connection out when it is served no more.
func (s *server) countOpen(_ net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.open.Done()
	case fasthttp.StateNew, fasthttp.StateActive, fasthttp.StateIdle:
	}
}

// handle runs one request under the faults that hold for answers.
func (s *server) handle(ctx *fasthttp.RequestCtx, next fasthttp.RequestHandler) {
	if strings.HasPrefix(string(ctx.Path()), controlPrefix) {
		next(ctx)
		return
	}
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	s.pause(delay)
	next(ctx)
	if ctx.IsPost() && s.losesAnswer() {
		_ = ctx.Conn().Close()
	}
}

func (s *server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseAnswers == 0 {
		return false
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
	}
	s.lost++
	return true
}

// pause waits for the duration or until the stand-in closes.
func (s *server) pause(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.done:
		return false
	}
}

// Stop refuses new connections and drops all open ones until Resume.
func (s *server) Stop() {
	s.mu.Lock()
	ln := s.listener
	s.listener = nil
	s.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	s.CutConnections()
}

// Resume listens again on the address of before Stop.
func (s *server) Resume() error {
	var failed error
	for range relistenTries {
		failed = s.relisten()
		if failed == nil {
			return nil
		}
		if !s.pause(relistenPause) {
			return nil
		}
	}
	return failed
}

func (s *server) relisten() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil || s.closed {
		return nil
	}
	ln, err := net.Listen("tcp", string(s.bound))
	if err != nil {
		return fmt.Errorf("listen again on %q: %w", s.bound, err)
	}
	s.serve(ln)
	return nil
}

// SilenceConnections makes the connections that are open now silent for good; new ones work.
func (s *server) SilenceConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
	return len(s.conns)
}

// Delay makes every call wait for d before it is handled.
func (s *server) Delay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers drops the connection after the effect of the next n POST calls; of all if n is negative.
func (s *server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// LostAnswers returns how many answers were lost on order.
func (s *server) LostAnswers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// CutConnections closes the connections that are open now; new ones work.
func (s *server) CutConnections() {
	s.mu.Lock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// Close stops the stand-in and waits until all that it started has ended.
func (s *server) Close() error {
	s.mu.Lock()
	if s.closed || s.done == nil {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	close(s.done)
	mute := s.mute
	s.mu.Unlock()
	for _, c := range mute {
		_ = c.Close()
	}
	s.Stop()
	s.open.Wait()
	s.tasks.Wait()
	return nil
}

// quiet drops what the HTTP server says of broken connections.
type quiet struct{}

// Printf drops the message.
func (quiet) Printf(string, ...any) {}

var errSilent = errors.New("connection went silent")
