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

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/certifier"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/counter"
	"github.com/dotterelpulley/dotterelpulley/drainer"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb/peerpbconnect"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	sweepEvery    = time.Second
	pruneEvery    = time.Minute
	drainEvery    = 50 * time.Millisecond
	shutdownLimit = 2 * time.Second
)

// Entry is the process of one entry host; Start begins it and Close ends it.
type Entry struct {
	settings Settings
	log      *log.Logger
	counters counter.Set

	endpoints endpoints
	followed  followed
	queue     queue
	runs      runs
	claims    claims
	isolation isolation
	gossip    gossip

	hosts    lister.Client
	platform appender.Client
	reports  fasthttp.Client
	peerHTTP *http.Client

	certificates certificates

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
		drain:    make(chan struct{}),
	}
	e.certificates.callers = certifier.Certifier{Files: settings.CallerFiles, Protocols: []string{"http/1.1"}}
	e.certificates.peers = certifier.Certifier{Files: settings.PeerFiles, Protocols: []string{"h2", "http/1.1"}}
	e.certificates.peers.DialTimeout = settings.Timeouts.Dial
	e.peerHTTP = e.certificates.peers.Client(peerPingAfter)
	e.queue.endpoints = &e.endpoints
	e.queue.followed = &e.followed
	e.queue.counters = &e.counters
	e.queue.settings = settings
	e.claims.entry = e
	e.gossip.entry = e
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Counters returns the process's counters.
func (e *Entry) Counters() *counter.Set {
	return &e.counters
}

// Start opens the listeners and begins to work.
func (e *Entry) Start() error {
	if err := e.loadCertificates(); err != nil {
		return err
	}
	e.callers = e.callerApp()
	e.operators = e.operatorApp()
	e.claims.join()
	e.gossip.join()
	if err := e.serveApp(e.callers, e.settings.CallerAddress, &e.certificates.callers); err != nil {
		return err
	}
	if err := e.serveApp(e.operators, e.settings.OperatorAddress, &certifier.Certifier{}); err != nil {
		return err
	}
	if err := e.servePeers(); err != nil {
		return err
	}
	e.wait.Go(func() { repeater.Every(e.ctx, e.settings.Timeouts.HostListEvery, e.pollHosts) })
	e.wait.Go(func() { repeater.Every(e.ctx, e.settings.Timeouts.LoadEvery, e.pollLoads) })
	e.wait.Go(func() { repeater.Every(e.ctx, queueEvery, e.queue.dispatch) })
	e.wait.Go(func() { repeater.Every(e.ctx, gossipEvery, e.gossip.tick) })
	e.wait.Go(func() { repeater.Every(e.ctx, e.settings.Timeouts.LoadEvery, e.pollCaches) })
	e.wait.Go(func() { e.followLog(appender.StreamConfiguration) })
	e.wait.Go(func() { e.followLog(appender.StreamMoves) })
	e.wait.Go(func() { repeater.Every(e.ctx, assessEvery, e.assess) })
	e.wait.Go(func() { repeater.Every(e.ctx, relayEvery, e.askPeer) })
	e.wait.Go(func() { repeater.Every(e.ctx, e.settings.Timeouts.CertificatesEvery, e.reloadCertificates) })
	e.wait.Go(func() { repeater.Every(e.ctx, pruneEvery, e.isolation.prune) })
	e.wait.Go(func() { repeater.Every(e.ctx, sweepEvery, func() { e.runs.sweep(time.Now(), e.settings.Timeouts) }) })
	e.log.Info().Str("event", "started").Str("host", string(e.settings.Host)).Msg("")
	return nil
}

func (e *Entry) serveApp(app *fiber.App, address dotterelpulley.Address, c *certifier.Certifier) error {
	plain, err := net.Listen("tcp", string(address))
	if err != nil {
		return fmt.Errorf("listen on %q: %w", address, err)
	}
	listener := secure(plain, c)
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
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/evidence", e.handleEvidence)
	mux.HandleFunc("GET /v1/records", e.handleRecords)
	mux.HandleFunc("POST /v1/bad-versions", e.handleBad)
	mux.Handle(peerpbconnect.NewPeerServiceHandler(peerService{entry: e}))
	e.peers = &http.Server{
		Handler:           mux,
		Protocols:         peerListenerProtocols(),
		ReadHeaderTimeout: callerReadTimeout,
		HTTP2:             peerPings(),
	}
	e.wait.Go(func() { _ = e.peers.Serve(secure(listener, &e.certificates.peers)) })
	return nil
}

// ready reports whether callers may be sent here.
func (e *Entry) ready() bool {
	return e.listed.Load() && e.followed.ready() && e.claims.session().ready() && !e.draining.Load()
}

// beginDrain makes the host take nothing new.
func (e *Entry) beginDrain() {
	if e.draining.CompareAndSwap(false, true) {
		close(e.drain)
		e.claims.session().step(claimer.DrainStarted{})
		e.gossip.drain(time.Now())
		e.log.Info().Str("event", "draining").Msg("")
	}
}

// DrainStarted is closed when the host has begun to drain.
func (e *Entry) DrainStarted() <-chan struct{} {
	return e.drain
}

// Drain takes nothing new, waits until what runs has ended, and signs off; it returns early when ctx ends, as it does
// at a second signal, or when the limit has passed.
func (e *Entry) Drain(ctx context.Context) {
	e.beginDrain()
	d := drainer.Drainer{Timeout: e.settings.Timeouts.Drain, SignOffTimeout: signOffLimit}
	d.Signal(time.Now())
	tick := time.NewTicker(drainEvery)
	defer tick.Stop()
	signingOff := false
	for d.Phase() != drainer.Closing {
		select {
		case <-tick.C:
			d.Tick(time.Now(), e.runs.live(), e.claims.signedOff())
		case <-ctx.Done():
			d.Signal(time.Now())
		}
		if d.Phase() == drainer.SigningOff && !signingOff {
			signingOff = true
			e.claims.session().step(claimer.SignOff{})
		}
	}
	e.log.Info().Str("event", "drained").Int("live-requests", e.runs.live()).Bool("signed-off", e.claims.signedOff()).Msg("")
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
