package main

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
)

const (
	tickEvery     = 100 * time.Millisecond
	pollEvery     = time.Second
	evidenceEvery = 2 * time.Second
	readWait      = 600 * time.Millisecond
	readRetry     = 200 * time.Millisecond
	shutdownLimit = 2 * time.Second
)

// process joins the mover with the log, the host list, the endpoints and the entry hosts.
type process struct {
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

func newProcess(settings mover.Settings, logger *log.Logger) *process {
	p := &process{
		settings:  settings,
		log:       logger,
		client:    appender.Client{Address: settings.Log},
		hosts:     lister.Client{Address: settings.HostList},
		mover:     mover.Mover{Settings: settings, IDs: uuid.NewString()},
		read:      map[appender.Stream]time.Time{},
		endpoints: map[dotterelpulley.EndpointID]mover.Endpoint{},
		evidence:  map[dotterelpulley.HostID][]*assessor.Evidence{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

func (p *process) start() error {
	if err := p.peers.start(p.settings.PeerFiles, p.settings.OrderTimeout); err != nil {
		return err
	}
	if err := p.operators.start(p); err != nil {
		return err
	}
	p.wait.Go(func() { p.every(certificatesEvery, p.reloadCertificates) })
	p.wait.Go(func() { p.follow(appender.StreamConfiguration) })
	p.wait.Go(func() { p.follow(appender.StreamMoves) })
	p.wait.Go(func() { p.every(pollEvery, p.poll) })
	p.wait.Go(func() { p.every(tickEvery, p.tick) })
	p.log.Info().Str("event", "started").Str("host", string(p.settings.Host)).Msg("")
	return nil
}

// every calls do at once and then at each interval until the process ends.
func (p *process) every(interval time.Duration, do func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		do()
		select {
		case <-tick.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// follow reads the stream until the process ends.
func (p *process) follow(stream appender.Stream) {
	for p.ctx.Err() == nil {
		p.mu.Lock()
		next := p.follower.Next(stream)
		p.mu.Unlock()
		begun := time.Now()
		page, err := p.client.Read(stream, next, readWait)
		if err != nil {
			p.counters.Inc("retry-log-read")
			p.pause(readRetry)
			continue
		}
		p.take(stream, page, begun)
	}
}

func (p *process) take(stream appender.Stream, page appender.Page, begun time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, change := range p.follower.ApplyPage(stream, page) {
		p.mover.Observe(change.Verdict)
		p.tell(change)
	}
	if len(page.Records) == 0 {
		p.read[stream] = begun
	}
}

func (p *process) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.ctx.Done():
	}
}

func (p *process) reloadCertificates() {
	if err := p.peers.reload(); err != nil {
		p.counters.Inc("certificate-failed")
		p.log.Error().Str("event", "certificate-failed").Err(err).Msg("")
	}
}

// tick asks the mover what to do and does it.
func (p *process) tick() {
	p.mu.Lock()
	now := time.Now()
	view := p.view()
	actions := p.mover.Tick(now, view)
	p.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case mover.Append:
			p.wait.Go(func() { p.append(a) })
		case mover.Order:
			p.wait.Go(func() { p.order(a) })
		case mover.Spread:
			p.wait.Go(func() { p.spread(a) })
		}
	}
}

// Close gives the lease up, ends the process's work and waits for it.
func (p *process) Close() error {
	p.mu.Lock()
	farewell, held := p.mover.Farewell(time.Now(), p.view())
	p.mu.Unlock()
	if held {
		p.append(farewell)
	}
	p.cancel()
	err := p.operators.close()
	p.wait.Wait()
	p.log.Info().Str("event", "stopped").Msg("")
	return err
}
