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
	dialTimeout    = 2 * time.Second
	bufferSize     = 32 << 10
	relistenPeriod = 10 * time.Millisecond
	relistenTries  = 200
)

// Proxy passes TCP connections on to a target under faults; the zero value with a target passes all.
type Proxy struct {
	// Target is where connections go.
	Target dotterelpulley.Address

	mu          sync.Mutex
	bound       dotterelpulley.Address
	listener    net.Listener
	links       map[*link]struct{}
	delay       time.Duration
	loseAnswers int
	lost        int
	accepted    int
	tasks       conc.WaitGroup
}

// Start listens on the address; port 0 takes a free one.
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
	p.bound = dotterelpulley.Address(ln.Addr().String())
	p.listener = ln
	p.tasks.Go(func() { p.accept(ln) })
	return nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() dotterelpulley.Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bound
}

// Accepted returns how many connections the proxy has taken.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// LostAnswers returns how many answers were lost on order.
func (p *Proxy) LostAnswers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

func (p *Proxy) accept(ln net.Listener) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		far, err := net.DialTimeout("tcp", string(p.Target), dialTimeout)
		if err != nil {
			_ = near.Close()
			continue
		}
		p.connect(&link{near: near, far: far, done: make(chan struct{})})
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
		defer p.forget(l)
		p.pass(l, l.near, l.far, towardsTarget)
	})
	p.tasks.Go(func() {
		defer p.forget(l)
		p.pass(l, l.far, l.near, towardsCaller)
	})
}

func (p *Proxy) forget(l *link) {
	l.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

type direction int

const (
	towardsTarget direction = iota
	towardsCaller
)

// pass copies bytes one way until either end closes; a silent link swallows them and stays open.
func (p *Proxy) pass(l *link, from, to net.Conn, way direction) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if l.silent.Load() {
			<-l.done
			return
		}
		if n > 0 && way == towardsCaller && p.losesAnswer() {
			return
		}
		if !p.wait(l) {
			return
		}
		if l.silent.Load() {
			<-l.done
			return
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			return
		}
	}
}

// wait holds bytes back for the delay.
func (p *Proxy) wait(l *link) bool {
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

func (p *Proxy) losesAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loseAnswers == 0 {
		return false
	}
	if p.loseAnswers > 0 {
		p.loseAnswers--
	}
	p.lost++
	return true
}

// Close cuts all connections and waits until the proxy has ended.
func (p *Proxy) Close() error {
	p.Refuse()
	p.tasks.Wait()
	return nil
}
