package proxy

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	dialTimeout         = 2 * time.Second
	bufferSize          = 32 << 10
	relistenInterval    = 10 * time.Millisecond
	maxRelistenAttempts = 200
)

// Proxy forwards TCP connections to a target and injects faults; with only a target set, it injects none.
type Proxy struct {
	// Target is the address that connections are forwarded to.
	Target dotterelpulley.Address

	mu           sync.Mutex
	boundAddress dotterelpulley.Address
	listener     net.Listener
	links        map[*link]struct{}
	delay        time.Duration
	loseAnswers  int
	lostAnswers  int
	stray        Stray
	// held is closed when data that is held up may go on; nil if none is.
	held     chan struct{}
	accepted int
	tasks    conc.WaitGroup
}

// Start listens on the address; port 0 selects a free port.
func (p *Proxy) Start(address dotterelpulley.Address) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = map[*link]struct{}{}
	return p.listen(address)
}

func (p *Proxy) listen(address dotterelpulley.Address) error {
	ln, err := net.Listen("tcp", string(address))
	if err != nil {
		return fmt.Errorf("listen on %q: %w", address, err)
	}
	p.boundAddress = dotterelpulley.Address(ln.Addr().String())
	p.listener = ln
	p.tasks.Go(func() { p.accept(ln) })
	return nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() dotterelpulley.Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boundAddress
}

// Accepted returns the number of connections that the proxy has accepted.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// LostAnswers returns the number of answers dropped by LoseAnswers.
func (p *Proxy) LostAnswers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lostAnswers
}

func (p *Proxy) accept(ln net.Listener) {
	for {
		caller, err := ln.Accept()
		if err != nil {
			return
		}
		target, err := net.DialTimeout("tcp", string(p.Target), dialTimeout)
		if err != nil {
			_ = caller.Close()
			continue
		}
		p.connect(&link{caller: caller, target: target, done: make(chan struct{})})
	}
}

func (p *Proxy) connect(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		l.close()
		return
	}
	p.accepted++
	p.links[l] = struct{}{}
	p.tasks.Go(func() {
		defer p.remove(l)
		p.forward(l, l.caller, l.target, toTarget)
	})
	p.tasks.Go(func() {
		defer p.remove(l)
		p.forward(l, l.target, l.caller, toCaller)
	})
}

func (p *Proxy) remove(l *link) {
	l.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

type direction int

const (
	toTarget direction = iota
	toCaller
)

// forward copies data in one direction until either side closes; a silenced link discards it and stays open.
func (p *Proxy) forward(l *link, from, to net.Conn, dir direction) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if l.silent.Load() {
			<-l.done
			return
		}
		if n > 0 && dir == toCaller && p.consumeLostAnswer() {
			return
		}
		if !p.waitDelay(l) {
			return
		}
		p.waitRelease()
		if l.silent.Load() {
			<-l.done
			return
		}
		data := buffer[:n]
		if dir == toCaller {
			data = p.withStray(l, data)
		}
		if _, writeErr := to.Write(data); writeErr != nil || err != nil {
			return
		}
	}
}

// waitDelay waits for the delay and reports false if the link closes before.
func (p *Proxy) waitDelay(l *link) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}

func (p *Proxy) consumeLostAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loseAnswers == 0 {
		return false
	}
	if p.loseAnswers > 0 {
		p.loseAnswers--
	}
	p.lostAnswers++
	return true
}

// Close closes the listener and all connections and waits for the proxy's tasks.
func (p *Proxy) Close() error {
	p.Refuse()
	p.Release()
	p.tasks.Wait()
	return nil
}
