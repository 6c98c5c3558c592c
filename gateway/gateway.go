package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/limiter"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
	"github.com/dotterelpulley/dotterelpulley/router"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// isolateAfter is how many endpoints a request may crash before it is refused.
	isolateAfter = 3
	// crashMemory is how long a crash counts against a request, some times an endpoint's restart.
	crashMemory = 2 * time.Minute
	// budgetPart is the part of the platform's retry budget that is used, as hosts count apart.
	budgetPart = 0.7
	// mostIdle bounds the idle connections to one endpoint, several times its slots.
	mostIdle = 32
	// idlePart is the part of the connections that an endpoint accepts which may be idle, so that busy ones have room.
	idlePart = 0.5
	// headerTimeout and idleTimeout are above what operators set for callers, who end idle connections sooner.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes is above what operators set for callers.
	maxHeaderBytes = 64 << 10
	// housekeeping is the time between two rounds of forgetting.
	housekeeping = time.Second
)

// Gateway is the process of one host; New makes one.
type Gateway struct {
	settings platform.Settings
	bounds   atomic.Pointer[platform.Bounds]
	logger   *log.Logger
	store    *platform.Store
	started  time.Time

	table     atomic.Pointer[router.Table]
	contact   contact
	connector connector.Connector
	metrics   metrics
	nextID    atomic.Uint64
	inFlight  atomic.Int64

	endpoints entries
	queue     queue
	// mutex guards the decision cores below.
	mutex     sync.Mutex
	rations   rationer.Rationer
	budget    limiter.RetryBudget
	isolation isolator.Isolator
	crashes   []seenCrash

	peers   peers
	reading reading
	news    news
	drain   draining
	servers []*http.Server

	ctx    context.Context
	cancel context.CancelFunc
	wait   conc.WaitGroup
}

// New returns a gateway that isn't started yet.
func New(settings platform.Settings, logger *log.Logger) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		settings: settings,
		logger:   logger,
		store:    platform.NewStore(settings.StoreAddress),
		started:  time.Now(),
		ctx:      ctx,
		cancel:   cancel,
	}
	g.bounds.Store(&settings.Bounds)
	seed := uint64(g.started.UnixNano())
	g.queue.scheduler = scheduler.Scheduler{Seed: seed, Zone: settings.Zone}
	g.queue.waiters = map[scheduler.ID]chan scheduler.Decision{}
	g.isolation.Settings = isolator.Settings{Limit: isolateAfter, Lifetime: crashMemory}
	g.connector.OnOpen = func() { g.metrics.Inc("connections-opened") }
	g.peers.init(settings, seed)
	g.news.incarnation = seed
	g.applyBounds()
	return g
}

// Start listens on all addresses and begins to follow the store; it returns once callers can connect.
func (g *Gateway) Start() error {
	g.event(log.InfoLevel, "start").Str("zone", string(g.settings.Zone)).Str("callers", string(g.settings.CallerAddress)).Msg("")
	if err := g.openPeers(); err != nil {
		return err
	}
	callers := http.HandlerFunc(g.serveCaller)
	for _, listener := range []struct {
		address dotterelpulley.Address
		handler http.Handler
	}{
		{g.settings.CallerAddress, callers},
		{g.settings.ReadinessAddress, g.readyHandler()},
		{g.settings.DirectoryAddress, g.directoryHandler()},
		{g.metricsAddress(), g.metricsHandler()},
		{g.peers.self().PeerAddress, g.relayHandler()},
	} {
		if listener.address == "" {
			continue
		}
		if err := g.listen(listener.address, listener.handler); err != nil {
			return errors.Join(err, g.Close())
		}
	}
	g.wait.Go(g.followOperators)
	g.wait.Go(g.followReaders)
	g.wait.Go(g.followEndpoints)
	g.wait.Go(g.introduce)
	g.wait.Go(g.announce)
	g.wait.Go(g.hear)
	g.wait.Go(func() { repeater.Every(g.ctx, housekeeping, g.keepHouse) })
	return nil
}

func (g *Gateway) listen(address dotterelpulley.Address, handler http.Handler) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          g.logger.Std("", 0),
	}
	g.servers = append(g.servers, server)
	g.wait.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.event(log.ErrorLevel, "listener-ended").Str("address", string(address)).Err(err).Msg("")
		}
	})
	return nil
}

// applyBounds brings the decision cores in line with the bounds and the number of hosts; the mutex is held.
func (g *Gateway) applyBounds() {
	b := g.bounds.Load()
	g.rations.Window = b.UsageWindow
	g.rations.SilenceTimeout = g.peers.silence()
	g.rations.HostCount = g.peers.expected()
	g.budget.Ratio = b.RetryRatio * budgetPart
	// What the platform allows beside the ratio is the burst; hosts count apart, so none comes on top of it.
	g.budget.PerSecond = -1
	g.budget.Burst = max(b.RetryExtra*budgetPart/float64(g.peers.known()), 1)
}

// shareConnections bounds the idle connections by this host's part of what the endpoints accept.
func (g *Gateway) shareConnections() {
	t := g.table.Load()
	if t == nil {
		return
	}
	most := mostIdle
	for _, s := range t.Services {
		if s.MaxConnections > 0 {
			most = min(most, int(idlePart*float64(s.MaxConnections))/g.peers.known())
		}
	}
	g.connector.SetMaxIdlePerEndpoint(most)
}

// keepHouse forgets what no longer counts.
func (g *Gateway) keepHouse() {
	now := time.Now()
	g.connector.Prune(now)
	g.shareConnections()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isolation.Prune(now)
	g.forgetCrashes(now)
	g.applyBounds()
}

// Close ends the gateway at once and waits for all that it started.
func (g *Gateway) Close() error {
	g.cancel()
	var errs []error
	for _, s := range g.servers {
		errs = append(errs, s.Close())
	}
	errs = append(errs, g.peers.close())
	g.wait.Wait()
	g.connector.Close()
	g.store.Close()
	g.event(log.InfoLevel, "stop").Msg("")
	return errors.Join(errs...)
}
