package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/assessor"
	"github.com/dotterelpulley/dotterelpulley/counter"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/lister"
	"github.com/dotterelpulley/dotterelpulley/mover"
	"github.com/dotterelpulley/dotterelpulley/recorder"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	tickEvery     = 100 * time.Millisecond
	pollEvery     = time.Second
	evidenceEvery = 2 * time.Second
	readWait      = 600 * time.Millisecond
	readRetry     = 200 * time.Millisecond
	shutdownLimit = 2 * time.Second
)

// Carrier is the process that carries out release notes; Start begins it and Close ends it.
type Carrier struct {
	settings mover.Settings
	log      *log.Logger
	counters counter.Set
	client   appender.Client
	hosts    lister.Client
	http     fasthttp.Client
	peers    peers
	assessor assessor.Assessor

	mu       sync.Mutex
	follower follower.Follower
	mover    mover.Mover
	// read is when the newest read of each stream that met its end was begun.
	read       map[appender.Stream]time.Time
	list       lister.List
	endpoints  map[dotterelpulley.EndpointID]mover.Endpoint
	evidence   map[dotterelpulley.HostID][]*assessor.Evidence
	evidenceAt time.Time
	// assessments are of the newest poll.
	assessments map[recorder.MoveID]mover.Assessment

	ctx       context.Context
	cancel    context.CancelFunc
	wait      conc.WaitGroup
	operators operators
}

// New returns a process with checked settings; it does nothing before Start.
func New(settings mover.Settings, logger *log.Logger) *Carrier {
	c := &Carrier{
		settings:  settings,
		log:       logger,
		client:    appender.Client{Address: settings.Log},
		hosts:     lister.Client{Address: settings.HostList},
		mover:     mover.Mover{Settings: settings, IDPrefix: uuid.NewString()},
		read:      map[appender.Stream]time.Time{},
		endpoints: map[dotterelpulley.EndpointID]mover.Endpoint{},
		evidence:  map[dotterelpulley.HostID][]*assessor.Evidence{},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Counters returns the process's counters.
func (c *Carrier) Counters() *counter.Set {
	return &c.counters
}

// Start opens the operators' listener and begins to work.
func (c *Carrier) Start() error {
	if err := c.peers.start(c.settings.PeerFiles, c.settings.OrderTimeout); err != nil {
		return err
	}
	if err := c.operators.start(c); err != nil {
		return err
	}
	c.wait.Go(func() { repeater.Every(c.ctx, certificatesEvery, c.reloadCertificates) })
	c.wait.Go(func() { c.follow(appender.StreamConfiguration) })
	c.wait.Go(func() { c.follow(appender.StreamMoves) })
	c.wait.Go(func() { repeater.Every(c.ctx, pollEvery, c.poll) })
	c.wait.Go(func() { repeater.Every(c.ctx, tickEvery, c.tick) })
	c.log.Info().Str("event", "started").Str("host", string(c.settings.Host)).Msg("")
	return nil
}

// follow reads the stream until the process ends.
func (c *Carrier) follow(stream appender.Stream) {
	for c.ctx.Err() == nil {
		c.mu.Lock()
		next := c.follower.Next(stream)
		c.mu.Unlock()
		begun := time.Now()
		page, err := c.client.Read(stream, next, readWait)
		if err != nil {
			c.counters.Inc("retry-log-read")
			repeater.Sleep(c.ctx, readRetry)
			continue
		}
		c.take(stream, page, begun)
	}
}

func (c *Carrier) take(stream appender.Stream, page appender.Page, begun time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range c.follower.ApplyPage(stream, page) {
		c.mover.Observe(change.Verdict)
		c.tell(change)
	}
	if len(page.Records) == 0 {
		c.read[stream] = begun
	}
}

func (c *Carrier) reloadCertificates() {
	if err := c.peers.reload(); err != nil {
		c.counters.Inc("certificate-failed")
		c.log.Error().Str("event", "certificate-failed").Err(err).Msg("")
	}
}

// tick asks the mover what to do and does it.
func (c *Carrier) tick() {
	c.mu.Lock()
	now := time.Now()
	view := c.view()
	actions := c.mover.Tick(now, view)
	c.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case mover.Append:
			c.wait.Go(func() { c.append(a) })
		case mover.Order:
			c.wait.Go(func() { c.order(a) })
		case mover.BroadcastBadVersion:
			c.wait.Go(func() { c.spread(a) })
		}
	}
}

// Close gives the lease up, ends the process's work and waits for it.
func (c *Carrier) Close() error {
	c.mu.Lock()
	farewell, held := c.mover.ReleaseLease(time.Now(), c.view())
	c.mu.Unlock()
	if held {
		c.append(farewell)
	}
	c.cancel()
	err := c.operators.close()
	c.wait.Wait()
	c.log.Info().Str("event", "stopped").Msg("")
	return err
}
