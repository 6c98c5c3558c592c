package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/announcer"
	"github.com/dotterelpulley/dotterelpulley/apportioner"
	"github.com/dotterelpulley/dotterelpulley/budgeter"
	"github.com/dotterelpulley/dotterelpulley/connector"
	"github.com/dotterelpulley/dotterelpulley/limiter"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/promoter"
	"github.com/dotterelpulley/dotterelpulley/rationer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
	"github.com/dotterelpulley/dotterelpulley/router"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

const (
	// maxIdleConnections limits the idle connections to one endpoint to several times its slots.
	maxIdleConnections = 32
	// idleConnectionsFraction is the fraction of an endpoint's accepted connections that may be idle, which leaves room for busy ones.
	idleConnectionsFraction = 0.5
	// headerTimeout and idleTimeout are longer than those that operators set for callers, who close idle connections first.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// smallRequestTimeout limits the reading of requests by the platform and other hosts, which have little or no body.
	smallRequestTimeout = 3 * time.Second
	// maxHeaderBytes limits the head of a request that the operators set no limit for, and is larger than the limits that they set.
	maxHeaderBytes = 64 << 10
	// housekeepingInterval is the time between two removals of expired state.
	housekeepingInterval = time.Second
)

// Gateway is the process of one host; use New to create one.
type Gateway struct {
	settings platform.Settings
	bounds   atomic.Pointer[platform.Bounds]
	logger   *log.Logger
	store    *platform.Store
	started  time.Time

	table     atomic.Pointer[router.Table]
	freshness configurationFreshness
	copyGuard copyGuard
	connector connector.Connector
	// hosts connects to the other hosts.
	hosts      connector.Connector
	metrics    metrics
	without    Mechanisms
	nextWorkID atomic.Uint64
	inFlight   atomic.Int64
	answers    bufferBudget
	// clients limits what all clients together make the process hold.
	clients budgeter.Budget

	registry endpointRegistry
	queue    queue
	// allowanceUpdates makes the scheduler get the allowances in the order in which they were computed.
	allowanceUpdates sync.Mutex
	// mutex guards the decision logic below.
	mutex       sync.Mutex
	rationer    rationer.Rationer
	apportioner apportioner.Apportioner
	retryBudget limiter.RetryBudget
	// historyRequestedAt is when this host last asked another one for its usage history.
	historyRequestedAt time.Time
	isolations         [isolationKinds]isolation
	crashes            crashReports

	paths       endpointPaths
	peers       peers
	storeAccess storeAccess
	readers     readerSelection
	changes     changeFeed
	rollouts    rolloutOrders
	promotions  promotions
	leaving     leavingReports
	catchingUp  atomic.Bool

	registration registrationRenewer
	drain        drainState
	servers      []*http.Server
	// callerServer is the one of servers that serves callers.
	callerServer *http.Server

	ctx    context.Context
	cancel context.CancelFunc
	// requests is done when the requests in flight have to end, before the host itself does.
	requests    context.Context
	endRequests context.CancelFunc
	goroutines  conc.WaitGroup
}

// New returns a gateway that hasn't been started.
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
	g.requests, g.endRequests = context.WithCancel(ctx)
	g.bounds.Store(&settings.Bounds)
	seed := rand.Uint64()
	g.paths.Seed = seed
	g.queue.scheduler = scheduler.Scheduler{Seed: seed, Zone: settings.Zone}
	g.queue.waiters = map[scheduler.ID]chan scheduler.Decision{}
	g.queue.changed = make(chan struct{}, 1)
	g.isolations[promptParts] = isolation{kind: promptParts, topic: platform.IsolationsTopic}
	g.isolations[wholeRequests] = isolation{kind: wholeRequests, topic: platform.IsolatedRequestsTopic}
	g.apportioner.Self = settings.Host
	g.clients.SetLimits(clientLimits(settings))
	g.clients.OnEvict = func() { g.metrics.Inc("client-evictions") }
	g.clients.OnRefuse = func() { g.metrics.Inc("client-refusals") }
	g.connector.OnOpen = func() { g.metrics.Inc("connections-opened") }
	g.peers.configure(settings, seed)
	g.changes.incarnation = seed
	g.applyBounds()
	return g
}

// Start listens on all addresses and starts to follow the store; it returns once callers can connect.
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
	g.supervise("follow-operators", g.followOperators)
	g.supervise("follow-readers", g.followReaders)
	g.supervise("follow-endpoints", g.followEndpoints)
	g.supervise("remove-expired", g.removeExpired)
	g.supervise("refute-outages", g.refuteOutages)
	g.supervise("register-host", g.registerHost)
	g.supervise("keep-parts", func() { g.keepIsolated(&g.isolations[promptParts]) })
	g.supervise("keep-requests", func() { g.keepIsolated(&g.isolations[wholeRequests]) })
	g.supervise("announce-state", g.announceState)
	g.supervise("announce-changes", g.announceChanges)
	g.supervise("receive-digests", g.receiveDigests)
	g.supervise("probe-members", func() { repeater.Every(g.ctx, announcer.ProbeInterval, g.probeMembers) })
	g.supervise("promote-versions", g.promoteVersions)
	g.supervise("write-rollout-status", g.writeRolloutStatus)
	g.supervise("check-links", func() { repeater.Every(g.ctx, linkCheckInterval, g.checkLinks) })
	g.supervise("housekeeping", func() { repeater.Every(g.ctx, housekeepingInterval, g.runHousekeeping) })
	return nil
}

func (g *Gateway) listen(address dotterelpulley.Address, handler http.Handler) error {
	listener, err := g.listenForClients(address)
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
	budgeter.Observe(server)
	g.servers = append(g.servers, server)
	if address == g.settings.CallerAddress {
		g.callerServer = server
	} else {
		server.ReadTimeout = smallRequestTimeout
	}
	g.goroutines.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.event(log.ErrorLevel, "listener-ended").Str("address", string(address)).Err(err).Msg("")
		}
	})
	return nil
}

// applyBounds updates the decision logic with the bounds and the number of hosts; the mutex must be held.
func (g *Gateway) applyBounds() {
	b := g.bounds.Load()
	g.rationer.Window = b.UsageWindow
	g.rationer.SilenceTimeout = g.peers.silenceLimit()
	g.rationer.HostCount = g.peers.expectedHosts()
	now := time.Now()
	hosts := g.peers.possibleHosts(now)
	before := g.retryBudget.MostSaved()
	g.retryBudget.Divide(now, limiter.RetryLimit{Ratio: b.RetryRatio, Extra: b.RetryExtra, Window: b.RetryWindow}, hosts)
	if burst := g.retryBudget.MostSaved(); burst != before {
		g.event(log.InfoLevel, "retry-burst").Int("hosts", hosts).Float64("burst", burst).Msg("")
	}
	g.promotions.limit(promoter.Settings{Share: b.ExposureShare, Slack: float64(b.ExposureSlack), Hosts: hosts})
}

// limitIdleConnections limits the idle connections to this host's share of what the endpoints accept.
func (g *Gateway) limitIdleConnections() {
	t := g.table.Load()
	if t == nil {
		return
	}
	hosts := g.peers.possibleHosts(time.Now())
	maxIdle := maxIdleConnections
	for _, s := range t.Services {
		if s.MaxConnections > 0 {
			maxIdle = min(maxIdle, int(idleConnectionsFraction*float64(s.MaxConnections))/hosts)
		}
	}
	g.connector.SetMaxIdlePerEndpoint(maxIdle)
}

// runHousekeeping removes expired state.
func (g *Gateway) runHousekeeping() {
	now := time.Now()
	g.connector.Prune(now)
	g.hosts.Prune(now)
	g.limitIdleConnections()
	g.pruneIsolations(now)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.crashes.expire(now)
	g.applyBounds()
}

// Close stops the gateway at once and waits for everything it started.
func (g *Gateway) Close() error {
	g.cancel()
	var errs []error
	for _, s := range g.servers {
		errs = append(errs, s.Close())
	}
	errs = append(errs, g.peers.close())
	g.goroutines.Wait()
	g.connector.Close()
	g.hosts.Close()
	g.store.Close()
	g.event(log.InfoLevel, "stop").Msg("")
	return errors.Join(errs...)
}
