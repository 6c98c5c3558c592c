package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/counter"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb/peerpbconnect"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

const (
	sweepEvery    = time.Second
	drainEvery    = 50 * time.Millisecond
	shutdownLimit = 2 * time.Second
)

// Entry is the process of one entry host; Start begins it and Close ends it.
type Entry struct {
	settings Settings
	log      *log.Logger
	counters counter.Set

	endpoints endpoints
	queue     queue
	runs      runs

	hosts    lister.Client
	platform appender.Client
	reports  fasthttp.Client
	peerHTTP *http.Client

	callers   *fiber.App
	operators *fiber.App
	peers     *http.Server

	listed   atomic.Bool
	draining atomic.Bool
	drain    chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	wait   conc.WaitGroup
}

// New returns an entry host with checked settings; it does nothing before Start.
func New(settings Settings, logger *log.Logger) *Entry {
	e := &Entry{
		settings: settings,
		log:      logger,
		hosts:    lister.Client{Address: settings.HostListAddress},
		platform: appender.Client{Address: settings.LogAddress},
		peerHTTP: newPeerHTTP(settings.Timeouts.Dial),
		drain:    make(chan struct{}),
	}
	e.queue.endpoints = &e.endpoints
	e.queue.counters = &e.counters
	e.queue.settings = settings
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Counters returns the process's counters.
func (e *Entry) Counters() *counter.Set {
	return &e.counters
}

// Start opens the listeners and begins to work.
func (e *Entry) Start() error {
	e.callers = e.callerApp()
	e.operators = e.operatorApp()
	if err := e.serveApp(e.callers, string(e.settings.CallerAddress)); err != nil {
		return err
	}
	if err := e.serveApp(e.operators, string(e.settings.OperatorAddress)); err != nil {
		return err
	}
	if err := e.servePeers(); err != nil {
		return err
	}
	e.wait.Go(func() { e.every(e.settings.Timeouts.HostListEvery, e.pollHosts) })
	e.wait.Go(func() { e.every(e.settings.Timeouts.LoadEvery, e.pollLoads) })
	e.wait.Go(func() { e.every(queueEvery, func() { e.queue.tick(time.Now()) }) })
	e.wait.Go(func() { e.every(e.settings.Timeouts.LoadEvery, e.pollCaches) })
	e.wait.Go(func() { e.every(sweepEvery, func() { e.runs.sweep(time.Now(), e.settings.Timeouts) }) })
	e.log.Info().Str("event", "started").Str("host", string(e.settings.Host)).Msg("")
	return nil
}

func (e *Entry) serveApp(app *fiber.App, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %q: %w", address, err)
	}
	e.wait.Go(func() {
		if err := app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			e.log.Error().Str("event", "listener-ended").Err(err).Msg("")
		}
	})
	return nil
}

func (e *Entry) servePeers() error {
	listener, err := net.Listen("tcp", string(e.settings.PeerAddress))
	if err != nil {
		return fmt.Errorf("listen on %q: %w", e.settings.PeerAddress, err)
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerServiceHandler(peerService{entry: e}))
	e.peers = &http.Server{
		Handler:           mux,
		Protocols:         &protocols,
		ReadHeaderTimeout: callerReadTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: peerPingAfter,
			PingTimeout:     peerPingTimeout,
		},
	}
	e.wait.Go(func() { _ = e.peers.Serve(listener) })
	return nil
}

// ready reports whether callers may be sent here.
func (e *Entry) ready() bool {
	return e.listed.Load() && !e.draining.Load()
}

// beginDrain makes the host take nothing new.
func (e *Entry) beginDrain() {
	if e.draining.CompareAndSwap(false, true) {
		close(e.drain)
		e.log.Info().Str("event", "draining").Msg("")
	}
}

// Drained is closed when the host has begun to drain.
func (e *Entry) Drained() <-chan struct{} {
	return e.drain
}

// Drain takes nothing new and waits until what runs has ended, ctx ends or the limit has passed.
func (e *Entry) Drain(ctx context.Context) {
	e.beginDrain()
	ctx, cancel := context.WithTimeout(ctx, e.settings.Timeouts.Drain)
	defer cancel()
	tick := time.NewTicker(drainEvery)
	defer tick.Stop()
	for e.runs.live() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close ends the process's work and waits for it.
func (e *Entry) Close() error {
	e.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	err := e.callers.ShutdownWithContext(ctx)
	if operatorErr := e.operators.ShutdownWithContext(ctx); err == nil {
		err = operatorErr
	}
	if peerErr := e.peers.Shutdown(ctx); peerErr != nil {
		_ = e.peers.Close()
	}
	e.wait.Wait()
	e.log.Info().Str("event", "stopped").Msg("")
	return err
}
