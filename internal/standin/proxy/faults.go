package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a caller's connection and the connection to the target that it is forwarded to.
type link struct {
	caller net.Conn
	target net.Conn
	silent atomic.Bool
	once   sync.Once
	done   chan struct{}
	// earlier is the answer that comes once more before the next one; only the goroutine that passes answers on uses it.
	earlier []byte
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.caller.Close()
		_ = l.target.Close()
	})
}

// Delay delays data by d in both directions.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// LoseAnswers drops the next n answers of the target by closing their connections; all answers if n is negative.
func (p *Proxy) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAnswers = n
}

// SilenceConnections permanently silences the open connections and returns their number; new ones work.
func (p *Proxy) SilenceConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.silent.Store(true)
	}
	return len(p.links)
}

// CloseConnections closes the open connections and returns their number; new ones work.
func (p *Proxy) CloseConnections() int {
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

// Refuse closes the open connections and refuses new ones until Accept.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	ln := p.listener
	p.listener = nil
	p.mu.Unlock()
	if ln != nil {
		_ = ln.Close()
	}
	p.CloseConnections()
}

// Accept accepts connections again after Refuse.
func (p *Proxy) Accept() error {
	var lastErr error
	for range maxRelistenAttempts {
		lastErr = p.relisten()
		if lastErr == nil {
			return nil
		}
		time.Sleep(relistenInterval)
	}
	return lastErr
}

func (p *Proxy) relisten() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	return p.listen(p.boundAddress)
}

// Hold holds up all data, in both directions, until Release; what has been sent arrives then, even if its sender has left meanwhile.
func (p *Proxy) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held = make(chan struct{})
	}
}

// Release delivers the data that Hold has held up.
func (p *Proxy) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held != nil {
		close(p.held)
		p.held = nil
	}
}

// waitRelease waits while data is held up.
func (p *Proxy) waitRelease() {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held != nil {
		<-held
	}
}
