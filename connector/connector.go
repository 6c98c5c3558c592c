package connector

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// defaultDialTimeout is some times the slowest set-up between zones, below the time to resend a lost packet.
	defaultDialTimeout = 600 * time.Millisecond
	// probeAfter, probeEvery and probeCount find a silent endpoint within two seconds.
	probeAfter = time.Second
	probeEvery = 400 * time.Millisecond
	probeCount = 2
	// defaultIdleEach bounds the idle connections to one endpoint where nothing else is set.
	defaultIdleEach = 32
)

// ExchangeError is an exchange that brought no answer.
type ExchangeError struct {
	// MaybeSent tells that some bytes of the request may have reached the endpoint.
	MaybeSent bool
	// ConnectionRefused tells that nothing listens at the address.
	ConnectionRefused bool
	Cause             error
}

// Error returns the cause.
func (f *ExchangeError) Error() string {
	return f.Cause.Error()
}

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error {
	return f.Cause
}

// Connector keeps idle connections; the zero value works.
type Connector struct {
	// DialTimeout bounds the set-up of a connection; 600 ms if zero.
	DialTimeout time.Duration
	// OnOpen counts a new connection, if set.
	OnOpen func()

	// idleEach bounds the idle connections to one endpoint; the default if zero.
	idleEach atomic.Int64

	mutex  sync.Mutex
	idle   map[dotterelpulley.Address][]*connection
	closed bool
}

// take returns an idle connection to the address that is still sound.
func (p *Connector) take(address dotterelpulley.Address) *connection {
	for {
		p.mutex.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mutex.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mutex.Unlock()
		if c.sound(time.Now()) {
			return c
		}
		c.Close()
	}
}

// put keeps a connection for the next exchange.
func (p *Connector) put(c *connection, keep time.Duration) {
	c.until = time.Now().Add(keep)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || keep <= 0 || len(p.idle[c.address]) >= p.most() {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[dotterelpulley.Address][]*connection{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// SetMaxIdlePerEndpoint bounds the idle connections to one endpoint from now on.
func (p *Connector) SetMaxIdlePerEndpoint(connections int) {
	p.idleEach.Store(int64(max(connections, 1)))
}

func (p *Connector) most() int {
	if n := p.idleEach.Load(); n > 0 {
		return int(n)
	}
	return defaultIdleEach
}

func (p *Connector) dial(ctx context.Context, address dotterelpulley.Address) (*connection, error) {
	timeout := p.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, dialError(address, err)
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	return newConnection(address, conn), nil
}

// CloseIdle closes the idle connections to the address, such as after one of them fell silent.
func (p *Connector) CloseIdle(address dotterelpulley.Address) {
	p.mutex.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Prune closes the idle connections that are too old to be used.
func (p *Connector) Prune(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close ends the idle connections; those in use end with their exchange.
func (p *Connector) Close() {
	p.mutex.Lock()
	p.closed = true
	addresses := make([]dotterelpulley.Address, 0, len(p.idle))
	for a := range p.idle {
		addresses = append(addresses, a)
	}
	p.mutex.Unlock()
	for _, a := range addresses {
		p.CloseIdle(a)
	}
}

// RefusesConnections reports whether nothing listens at the address, as after a crash.
func (p *Connector) RefusesConnections(ctx context.Context, address dotterelpulley.Address) bool {
	c, err := p.dial(ctx, address)
	if err == nil {
		p.put(c, defaultIdle)
		return false
	}
	var failure *ExchangeError
	return errors.As(err, &failure) && failure.ConnectionRefused
}
