package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is one connection through the proxy.
type link struct {
	near   net.Conn
	far    net.Conn
	silent atomic.Bool
	once   sync.Once
	done   chan struct{}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.near.Close()
		_ = l.far.Close()
	})
}

// Delay holds every piece of data back for d, in both directions.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseAnswers cuts a connection when its target answers, for the next n answers; for all if n is negative.
func (p *Proxy) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAnswers = n
}

// Silence makes the connections that are open now silent for good and returns their number; new ones work.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
	return len(p.links)
}

// Cut closes the connections that are open now and returns their number; new ones work.
func (p *Proxy) Cut() int {
	p.mu.Lock()
	open := make([]*link, 0, len(p.links))
	for l := range p.links {
		open = append(open, l)
	}
	p.mu.Unlock()
	for _, l := range open {
		l.close()
	}
	return len(open)
}

// Refuse refuses new connections and cuts the open ones until Accept.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	ln := p.listener
	p.listener = nil
	p.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	p.Cut()
}

// Accept takes connections again after Refuse.
func (p *Proxy) Accept() error {
	var failed error
	for range relistenTries {
		failed = p.relisten()
		if failed == nil {
			return nil
		}
		time.Sleep(relistenPeriod)
	}
	return failed
}

func (p *Proxy) relisten() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	return p.listen(p.bound)
}
