package controller

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/counter"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/internal/slurper"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/mover"
	"github.com/dotterelpulley/dotterelpulley/recorder"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	tickInterval     = 100 * time.Millisecond
	pollInterval     = time.Second
	evidenceInterval = 2 * time.Second
	longPollWait     = 600 * time.Millisecond
	readRetryDelay   = 200 * time.Millisecond
	shutdownTimeout  = 2 * time.Second
)

// Controller is the process that carries out release notes, from Start to Close.
type Controller struct {
	settings       mover.Settings
	log            *log.Logger
	counters       counter.Set
	logClient      appender.Client
	hostListClient lister.Client
	http           slurper.Client
	peers          peerClient
	assessor       assessor.Assessor

	mu       sync.Mutex
	follower follower.Follower
	mover    mover.Mover
	// caughtUpAt is, per stream, the start time of the newest read that returned no further records.
	caughtUpAt map[appender.Stream]time.Time
	hostList   lister.List
	endpoints  map[dotterelpulley.EndpointID]mover.Endpoint
	evidence   map[dotterelpulley.HostID][]*assessor.Evidence
	evidenceAt time.Time
	// assessments are the results of the latest poll.
	assessments map[recorder.MoveID]mover.Assessment

	ctx        context.Context
	cancel     context.CancelFunc
	background conc.WaitGroup
	operators  operatorServer
}

// New returns a controller with the settings, which must be valid; it does nothing before Start.
func New(settings mover.Settings, logger *log.Logger) *Controller {
	c := &Controller{
		settings:       settings,
		log:            logger,
		logClient:      appender.Client{Address: settings.Log},
		hostListClient: lister.Client{Address: settings.HostList},
		http:           slurper.Client{Limit: maxReportBytes},
		mover:          mover.Mover{Settings: settings, IDPrefix: uuid.NewString()},
		caughtUpAt:     map[appender.Stream]time.Time{},
		endpoints:      map[dotterelpulley.EndpointID]mover.Endpoint{},
		evidence:       map[dotterelpulley.HostID][]*assessor.Evidence{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Counters returns the process's counters.
func (c *Controller) Counters() *counter.Set {
	return &c.counters
}

// Start opens the operators' listener and starts the background work.
func (c *Controller) Start() error {
	if err := c.peers.start(c.settings.PeerFiles, c.settings.OrderTimeout); err != nil {
		return err
	}
	if err := c.operators.start(c); err != nil {
		return err
	}
	c.background.Go(func() { repeater.Every(c.ctx, certificateReloadInterval, c.reloadCertificates) })
	c.background.Go(func() { c.followStream(appender.StreamConfiguration) })
	c.background.Go(func() { c.followStream(appender.StreamMoves) })
	c.background.Go(func() { repeater.Every(c.ctx, pollInterval, c.poll) })
	c.background.Go(func() { repeater.Every(c.ctx, tickInterval, c.tick) })
	c.log.Info().Str("event", "started").Str("host", string(c.settings.Host)).Msg("")
	return nil
}

// followStream reads and applies the stream until the process ends.
func (c *Controller) followStream(stream appender.Stream) {
	for c.ctx.Err() == nil {
		c.mu.Lock()
		next := c.follower.NextOffset(stream)
		c.mu.Unlock()
		started := time.Now()
		page, err := c.logClient.Read(stream, next, longPollWait)
		if err != nil {
			c.counters.Inc("retry-log-read")
			repeater.Sleep(c.ctx, readRetryDelay)
			continue
		}
		c.applyPage(stream, page, started)
	}
}

func (c *Controller) applyPage(stream appender.Stream, page appender.Page, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range c.follower.ApplyPage(stream, page) {
		c.mover.Observe(change.Verdict)
		c.reportChange(change)
	}
	if len(page.Records) == 0 {
		c.caughtUpAt[stream] = started
	}
}

func (c *Controller) reloadCertificates() {
	if err := c.peers.reload(); err != nil {
		c.counters.Inc("certificate-failed")
		c.log.Error().Str("event", "certificate-failed").Err(err).Msg("")
	}
}

// tick executes the actions that the mover returns for the current state.
func (c *Controller) tick() {
	c.mu.Lock()
	now := time.Now()
	view := c.view()
	actions := c.mover.Tick(now, view)
	c.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case mover.Append:
			c.background.Go(func() { c.appendRecord(a) })
		case mover.Order:
			c.background.Go(func() { c.sendOrder(a) })
		case mover.BroadcastBadVersion:
			c.background.Go(func() { c.broadcastBadVersion(a) })
		}
	}
}

// Close releases the lease, stops the background work and waits for it to end.
func (c *Controller) Close() error {
	c.mu.Lock()
	release, held := c.mover.ReleaseLease(time.Now(), c.view())
	c.mu.Unlock()
	if held {
		c.appendRecord(release)
	}
	c.cancel()
	err := c.operators.close()
	c.background.Wait()
	c.log.Info().Str("event", "stopped").Msg("")
	return err
}
