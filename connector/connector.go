package connector

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	// defaultDialTimeout is several times the slowest connection setup between availability zones, and shorter than the retransmission timeout of a lost packet.
	defaultDialTimeout = 600 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are for TCP keep-alive probes, which detect an unresponsive endpoint within two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 400 * time.Millisecond
	keepAliveCount    = 2
	// defaultMaxIdle limits the idle connections to one endpoint if no other limit is set.
	defaultMaxIdle = 32
)

// ExchangeError is an exchange that failed without a response.
type ExchangeError struct {
	// MaybeSent reports whether some bytes of the request may have reached the endpoint.
	MaybeSent bool
	// ConnectionRefused reports whether nothing listens at the address.
	ConnectionRefused bool
	// Withdrawn reports whether this side gave the request up on an open connection, before anything of it was sent.
	Withdrawn bool
	Carrier   Carrier
	Cause     error
}

// Error returns the cause's message.
func (e *ExchangeError) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error {
	return e.Cause
}

// Connector keeps idle connections; the zero value is ready to use.
type Connector struct {
	// DialTimeout limits the time to connect; 600 ms if zero.
	DialTimeout time.Duration
	// OnOpen, if set, is called for each new connection.
	OnOpen func()
	// Dial, if set, opens connections in place of net.Dialer; the context limits its time.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// maxIdleConnections limits the idle connections to one endpoint; the default applies if zero.
	maxIdleConnections atomic.Int64

	activity activity
	// opened counts the connections that were made.
	opened atomic.Uint64

	mutex  sync.Mutex
	idle   map[dotterelpulley.Address][]*connection
	closed bool
}

// takeIdle returns a usable idle connection to the address that hasn't carried the id, nil if there is none; passedOver reports
// whether there were others. One of them is closed then, so that the connection in its place is not one more.
func (p *Connector) takeIdle(address dotterelpulley.Address, id string) (c *connection, passedOver bool) {
	suits := func(*connection) bool { return false }
	// Any response that comes again could be taken for one to a request without an id.
	if id != "" {
		carried := carriedIDOf(id)
		suits = func(c *connection) bool { return !c.carried.has(carried) }
	}
	for {
		c, replaced := p.popIdle(address, suits)
		if replaced != nil {
			replaced.Close()
			return nil, true
		}
		if c == nil || c.usable(time.Now()) {
			return c, false
		}
		c.Close()
	}
}

// popIdle removes the connection that became idle last of those that suit, or if there is none, the one that has been idle for longest.
func (p *Connector) popIdle(address dotterelpulley.Address, suits func(*connection) bool) (c, replaced *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil, nil
	}
	for i := len(list) - 1; i >= 0; i-- {
		if suits(list[i]) {
			c = list[i]
			p.idle[address] = slices.Delete(list, i, i+1)
			return c, nil
		}
	}
	replaced = list[0]
	p.idle[address] = slices.Delete(list, 0, 1)
	return nil, replaced
}

// putIdle keeps a connection for the next exchange.
func (p *Connector) putIdle(c *connection, idleTimeout time.Duration) {
	c.usableUntil = time.Now().Add(idleTimeout)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || idleTimeout <= 0 || len(p.idle[c.address]) >= p.maxIdle() {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[dotterelpulley.Address][]*connection{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// SetMaxIdlePerEndpoint sets the limit of idle connections to each endpoint.
func (p *Connector) SetMaxIdlePerEndpoint(connections int) {
	p.maxIdleConnections.Store(int64(max(connections, 1)))
}

func (p *Connector) maxIdle() int {
	if n := p.maxIdleConnections.Load(); n > 0 {
		return int(n)
	}
	return defaultMaxIdle
}

func (p *Connector) dial(ctx context.Context, address dotterelpulley.Address) (*connection, error) {
	timeout := p.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	dial := dialer.DialContext
	if p.Dial != nil {
		dial = p.Dial
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", string(address))
	if err != nil {
		return nil, dialError(address, err)
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	c := newConnection(ConnectionNumber(p.opened.Add(1)), address, conn)
	c.heard = p.activity.heard
	return c, nil
}

// CloseIdle closes the idle connections to the address, for example after one of them became unresponsive.
func (p *Connector) CloseIdle(address dotterelpulley.Address) {
	p.mutex.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Prune closes the idle connections that have expired, were closed by the endpoint, or deliver bytes that belong to no
// request.
func (p *Connector) Prune(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !c.usable(now) {
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

// Close closes the idle connections; connections in use are closed with their exchange.
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

// Reaches reports whether a connection to the address is accepted within the context's time.
func (p *Connector) Reaches(ctx context.Context, address dotterelpulley.Address) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	p.putIdle(c, defaultIdleTimeout)
	return true
}

// Silence returns how long no endpoint has sent anything although requests are in progress; zero if there are none.
func (p *Connector) Silence(now time.Time) time.Duration {
	return p.activity.silence(now)
}

// RefusesConnections reports whether nothing listens at the address, as after a crash.
func (p *Connector) RefusesConnections(ctx context.Context, address dotterelpulley.Address) bool {
	c, err := p.dial(ctx, address)
	if err == nil {
		p.putIdle(c, defaultIdleTimeout)
		return false
	}
	var failure *ExchangeError
	return errors.As(err, &failure) && failure.ConnectionRefused
}
