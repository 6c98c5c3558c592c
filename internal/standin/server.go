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
	controlPrefix       = "/standin/"
	maxBody             = 64 << 20
	retryInterval       = 10 * time.Millisecond
	maxRelistenAttempts = 200
	defaultListenOn     = "127.0.0.1:0"
)

// server is the base of all stand-ins: a listener, its connections and the faults injected into them.
type server struct {
	mu           sync.Mutex
	boundAddress dotterelpulley.Address
	listener     net.Listener
	conns        map[*conn]struct{}
	// silenced are silenced connections that are no longer served but have to stay open.
	silenced    []net.Conn
	delay       time.Duration
	loseAnswers int
	lostAnswers int
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
	return s.boundAddress
}

// start serves the routes on the address; port 0 selects a free port.
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
	s.boundAddress = dotterelpulley.Address(ln.Addr().String())
	s.conns = map[*conn]struct{}{}
	s.done = make(chan struct{})
	s.http.Handler = func(ctx *fasthttp.RequestCtx) { s.handle(ctx, handle) }
	s.http.MaxRequestBodySize = maxBody
	s.http.NoDefaultServerHeader = true
	s.http.Logger = discardLogger{}
	s.http.ConnState = s.handleConnState
	s.serve(ln)
	return nil
}

// serve accepts connections from the listener until it closes; s.mu must be held.
func (s *server) serve(ln net.Listener) {
	s.listener = ln
	s.tasks.Go(func() {
		_ = s.http.Serve(&listener{Listener: ln, server: s})
	})
}

// handleConnState marks a connection as done when it is no longer served.
func (s *server) handleConnState(_ net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.open.Done()
	case fasthttp.StateNew, fasthttp.StateActive, fasthttp.StateIdle:
	}
}

// handle serves one request and applies the delay and lost-answer faults; control requests are exempt.
func (s *server) handle(ctx *fasthttp.RequestCtx, next fasthttp.RequestHandler) {
	if strings.HasPrefix(string(ctx.Path()), controlPrefix) {
		next(ctx)
		return
	}
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	s.sleep(delay)
	next(ctx)
	if ctx.IsPost() && s.consumeLostAnswer() {
		_ = ctx.Conn().Close()
	}
}

func (s *server) consumeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseAnswers == 0 {
		return false
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
	}
	s.lostAnswers++
	return true
}

// sleep waits for the duration and reports false if the stand-in closes before.
func (s *server) sleep(d time.Duration) bool {
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

// Stop closes all open connections and refuses new ones until Resume.
func (s *server) Stop() {
	s.mu.Lock()
	ln := s.listener
	s.listener = nil
	s.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	s.CloseConnections()
}

// Resume listens again on the address used before Stop.
func (s *server) Resume() error {
	var lastErr error
	for range maxRelistenAttempts {
		lastErr = s.relisten()
		if lastErr == nil {
			return nil
		}
		if !s.sleep(retryInterval) {
			return nil
		}
	}
	return lastErr
}

func (s *server) relisten() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil || s.closed {
		return nil
	}
	ln, err := net.Listen("tcp", string(s.boundAddress))
	if err != nil {
		return fmt.Errorf("listen again on %q: %w", s.boundAddress, err)
	}
	s.serve(ln)
	return nil
}

// SilenceConnections permanently silences the open connections and returns their number; new ones work.
func (s *server) SilenceConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
	return len(s.conns)
}

// Delay delays the handling of every call by d.
func (s *server) Delay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers closes the connection instead of answering the next n POST calls, after they took effect; all calls if n is negative.
func (s *server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = n
}

// LostAnswers returns the number of answers dropped by LoseAnswers.
func (s *server) LostAnswers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostAnswers
}

// CloseConnections closes the open connections; new ones work.
func (s *server) CloseConnections() {
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

// Close stops the stand-in and waits for its connections and tasks.
func (s *server) Close() error {
	s.mu.Lock()
	if s.closed || s.done == nil {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	close(s.done)
	silenced := s.silenced
	s.mu.Unlock()
	for _, c := range silenced {
		_ = c.Close()
	}
	s.Stop()
	s.open.Wait()
	s.tasks.Wait()
	return nil
}

// discardLogger discards the HTTP server's log messages about broken connections.
type discardLogger struct{}

// Printf drops the message.
func (discardLogger) Printf(string, ...any) {}

var errSilent = errors.New("connection went silent")
