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

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/budgeter"
	"github.com/dotterelpulley/dotterelpulley/certifier"
	"github.com/dotterelpulley/dotterelpulley/claimer"
	"github.com/dotterelpulley/dotterelpulley/counter"
	"github.com/dotterelpulley/dotterelpulley/drainer"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb/peerpbconnect"
	"github.com/dotterelpulley/dotterelpulley/internal/slurper"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	abandonCheckInterval = time.Second
	pruneInterval        = time.Minute
	drainPollInterval    = 50 * time.Millisecond
	shutdownTimeout      = 2 * time.Second
)

// Entry is the process of one entry host; Start starts it and Close stops it.
type Entry struct {
	settings Settings
	log      *log.Logger
	counters counter.Set

	endpoints endpoints
	logState  logState
	queue     queue
	runs      runs
	claims    claims
	isolation isolation
	gossip    gossip

	hostListClient lister.Client
	logClient      appender.Client
	pollClient     slurper.Client
	peerClient     *http.Client
	// peerMessageLimit is the largest message of another host.
	peerMessageLimit slurper.Bytes

	certificates certificates
	// clients limits what all clients together make the process hold.
	clients budgeter.Budget

	callerServer   *fiber.App
	operatorServer *fiber.App
	peerServer     *http.Server

	hostListFetched atomic.Bool
	draining        atomic.Bool
	drainStarted    chan struct{}

	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

// New returns an entry host for settings that have been checked; it is idle until Start is called.
func New(settings Settings, logger *log.Logger) *Entry {
	e := &Entry{
		settings:         settings,
		log:              logger,
		hostListClient:   lister.Client{Address: settings.HostListAddress},
		logClient:        appender.Client{Address: settings.LogAddress},
		pollClient:       slurper.Client{Limit: maxReportBytes},
		peerMessageLimit: slurper.DefaultLimit,
		drainStarted:     make(chan struct{}),
	}
	e.clients.SetLimits(budgeter.LimitsOf(budgeter.Bytes(settings.Limits.MemoryBytes), settings.Limits.Connections))
	e.clients.OnEvict = func() { e.counters.Inc("client-evictions") }
	e.clients.OnRefuse = func() { e.counters.Inc("client-refusals") }
	e.certificates.callers = certifier.Certifier{Files: settings.CallerTLS, Protocols: []string{"http/1.1"}}
	e.certificates.peers = certifier.Certifier{Files: settings.PeerTLS, Protocols: []string{"h2", "http/1.1"}}
	e.certificates.peers.DialTimeout = settings.Timeouts.Dial
	e.peerClient = e.certificates.peers.HTTPClient(peerPingInterval)
	e.queue.endpoints = &e.endpoints
	e.queue.logState = &e.logState
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

// Start opens the listeners and starts the background tasks.
func (e *Entry) Start() error {
	if err := e.loadCertificates(); err != nil {
		return err
	}
	e.callerServer = e.callerApp()
	e.operatorServer = e.operatorApp()
	e.claims.join()
	e.gossip.join()
	if err := e.serveApp(e.callerServer, e.settings.CallerAddress, &e.certificates.callers); err != nil {
		return err
	}
	if err := e.serveApp(e.operatorServer, e.settings.OperatorAddress, &certifier.Certifier{}); err != nil {
		return err
	}
	if err := e.servePeers(); err != nil {
		return err
	}
	e.tasks.Go(func() { repeater.Every(e.ctx, e.settings.Timeouts.HostListEvery, e.pollHosts) })
	e.tasks.Go(func() { repeater.Every(e.ctx, e.settings.Timeouts.LoadEvery, e.pollLoads) })
	e.tasks.Go(func() { repeater.Every(e.ctx, queueInterval, e.queue.dispatch) })
	e.tasks.Go(func() { repeater.Every(e.ctx, gossipInterval, e.gossip.tick) })
	e.tasks.Go(func() { repeater.Every(e.ctx, e.settings.Timeouts.LoadEvery, e.pollCaches) })
	e.tasks.Go(func() { e.followLog(appender.StreamConfiguration) })
	e.tasks.Go(func() { e.followLog(appender.StreamMoves) })
	e.tasks.Go(func() { repeater.Every(e.ctx, assessInterval, e.assess) })
	e.tasks.Go(func() { repeater.Every(e.ctx, relayInterval, e.pollPeer) })
	e.tasks.Go(func() { repeater.Every(e.ctx, e.settings.Timeouts.CertificatesEvery, e.reloadCertificates) })
	e.tasks.Go(func() { repeater.Every(e.ctx, pruneInterval, e.isolation.prune) })
	e.tasks.Go(func() {
		repeater.Every(e.ctx, abandonCheckInterval, func() { e.runs.cancelAbandoned(time.Now(), e.settings.Timeouts) })
	})
	e.log.Info().Str("event", "started").Str("host", string(e.settings.Host)).Msg("")
	return nil
}

func (e *Entry) serveApp(app *fiber.App, address dotterelpulley.Address, c *certifier.Certifier) error {
	tcp, err := net.Listen("tcp", string(address))
	if err != nil {
		return fmt.Errorf("listen on %q: %w", address, err)
	}
	listener := e.limitApp(app, secure(tcp, c))
	e.tasks.Go(func() {
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
	mux.HandleFunc("POST /v1/bad-versions", e.handleBadVersion)
	mux.Handle(peerpbconnect.NewPeerServiceHandler(peerService{entry: e}, e.limitPeerMessages()))
	e.peerServer = &http.Server{
		Handler:           budgeter.ChargeBodies(mux),
		Protocols:         peerListenerProtocols(),
		ReadHeaderTimeout: readTimeout,
		HTTP2:             peerPings(),
		MaxHeaderBytes:    maxPeerHeadBytes,
	}
	budgeter.Observe(e.peerServer)
	listener = e.limitPeers(listener, &e.certificates.peers)
	e.tasks.Go(func() { _ = e.peerServer.Serve(secure(listener, &e.certificates.peers)) })
	return nil
}

// ready reports whether this host can serve callers.
func (e *Entry) ready() bool {
	return e.hostListFetched.Load() && e.logState.ready() && e.claims.session().ready() && !e.draining.Load()
}

// beginDrain makes the host reject new requests.
func (e *Entry) beginDrain() {
	if e.draining.CompareAndSwap(false, true) {
		close(e.drainStarted)
		e.claims.session().step(claimer.DrainStarted{})
		e.gossip.drain(time.Now())
		e.log.Info().Str("event", "draining").Msg("")
	}
}

// DrainStarted returns a channel that is closed when the host starts to drain.
func (e *Entry) DrainStarted() <-chan struct{} {
	return e.drainStarted
}

// Drain rejects new requests, waits until the active ones have ended, and signs the host off from the roster. It
// returns early when ctx ends, which a second signal causes, or when the drain limit has passed.
func (e *Entry) Drain(ctx context.Context) {
	e.beginDrain()
	drain := drainer.Drainer{Timeout: e.settings.Timeouts.Drain, SignOffTimeout: signOffTimeout}
	drain.Signal(time.Now())
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	signingOff := false
	for drain.Phase() != drainer.Closing {
		select {
		case <-tick.C:
			drain.Tick(time.Now(), e.runs.active(), e.claims.signedOff())
		case <-ctx.Done():
			drain.Signal(time.Now())
		}
		if drain.Phase() == drainer.SigningOff && !signingOff {
			signingOff = true
			e.claims.session().step(claimer.SignOff{})
		}
	}
	e.log.Info().Str("event", "drained").Int("live-requests", e.runs.active()).Bool("signed-off", e.claims.signedOff()).Msg("")
}

// Close shuts the listeners down, stops the background tasks and waits for them.
func (e *Entry) Close() error {
	e.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := e.callerServer.ShutdownWithContext(ctx)
	if operatorErr := e.operatorServer.ShutdownWithContext(ctx); err == nil {
		err = operatorErr
	}
	if peerErr := e.peerServer.Shutdown(ctx); peerErr != nil {
		_ = e.peerServer.Close()
	}
	e.tasks.Wait()
	e.log.Info().Str("event", "stopped").Msg("")
	return err
}
