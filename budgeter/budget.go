package budgeter

import (
	"errors"
	"sync"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

const (
	defaultBytes       Bytes = 64 << 20
	defaultConnections       = 3000
	// connectionBytes is what an open connection holds, its buffers and stack.
	connectionBytes Bytes = 8 << 10
	// smallBytes is what an account may hold beyond largeShare of the budget, many times an ordinary request.
	smallBytes Bytes = 64 << 10
	// largeShare is the fraction of the budget for accounts that hold more than smallBytes, unservedShare that for requests that haven't been
	// received whole.
	largeShare    = 0.75
	unservedShare = 0.9
	// evictionTimeout limits the wait for connections that are being closed to give their memory back.
	evictionTimeout = time.Second
)

var (
	// ErrFull is returned when the budget is used up by requests under way, for which nothing is evicted.
	ErrFull = errors.New("the budget for clients is used up")
	// ErrEvicted is returned for an account whose connection has been closed to make room.
	ErrEvicted = errors.New("the connection was closed to make room for others")
)

// Limits are the largest amounts that all clients together may make a process hold.
type Limits struct {
	// Bytes is the memory for connections and requests; 64 MB if zero.
	Bytes Bytes
	// Connections is the number of open connections; 3000 if zero.
	Connections int
}

func (l Limits) bytes() Bytes {
	if l.Bytes > 0 {
		return l.Bytes
	}
	return defaultBytes
}

func (l Limits) connections() int {
	if l.Connections > 0 {
		return l.Connections
	}
	return defaultConnections
}

// allows reports whether an account in the stage that holds the bytes may bring the total to the given one.
//
// Answers the load patterns of large requests that fill the budget while they are served, beside which ordinary ones get in, and of new
// requests that come while many are served, which need some more until they end.
func (l Limits) allows(at stage, held, total Bytes) bool {
	share := 1.0
	switch {
	case held > smallBytes:
		share = largeShare
	case at != serving:
		share = unservedShare
	}
	return float64(total) <= share*float64(l.bytes())
}

// Usage is what clients hold.
type Usage struct {
	Bytes       Bytes
	Connections int
}

// Budget limits what the connections of a process hold; the zero value has the default limits.
type Budget struct {
	// OnEvict, if set, is called for each connection that is closed to make room, OnRefuse for each connection or charge without room.
	// Neither may block or use the budget.
	OnEvict  func()
	OnRefuse func()

	mutex    sync.Mutex
	limits   Limits
	accounts map[*Account]struct{}
	usage    Usage
	// leaving is the part of the used bytes that evicted accounts still hold.
	leaving Bytes
	// released is closed when bytes are given back; nil if nobody waits.
	released chan struct{}
}

// SetLimits sets the limits for what is charged from now on.
func (b *Budget) SetLimits(l Limits) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits = l
}

// Usage returns what is held at present.
func (b *Budget) Usage() Usage {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.usage
}

// Open returns the account of a new connection, charged with what each connection holds, or ErrFull if no other one can be closed for it.
// The connection's owner closes the account; evict, which must not block, closes the connection.
func (b *Budget) Open(evict func()) (*Account, error) {
	now := time.Now()
	a := &Account{budget: b, evict: evict, since: now}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for b.usage.Connections >= b.limits.connections() || !b.limits.allows(idle, connectionBytes, b.usage.Bytes-b.leaving+connectionBytes) {
		if !b.evictFor(a, now) {
			return nil, b.refuse()
		}
	}
	if b.accounts == nil {
		b.accounts = map[*Account]struct{}{}
	}
	b.accounts[a] = struct{}{}
	b.usage.Connections++
	a.held = connectionBytes
	b.usage.Bytes += connectionBytes
	return a, nil
}

// evictFor closes the connection that costs most, and reports whether there was one that costs more than the account's own; the mutex
// must be held.
func (b *Budget) evictFor(a *Account, now time.Time) bool {
	victim := selectVictim(b.accounts, now)
	if victim == nil || victim == a {
		return false
	}
	victim.evicted = true
	b.leaving += victim.held
	b.usage.Connections--
	if b.OnEvict != nil {
		b.OnEvict()
	}
	victim.evict()
	b.notify()
	return true
}

// refuse returns the error of a charge without room.
func (b *Budget) refuse() error {
	if b.OnRefuse != nil {
		b.OnRefuse()
	}
	return ErrFull
}

// notify wakes those that wait for room; the mutex must be held.
func (b *Budget) notify() {
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// awaitRelease returns a channel that is closed at the next change; the mutex must be held.
func (b *Budget) awaitRelease() <-chan struct{} {
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// reserve charges the bytes to the account, or returns what to wait for.
func (b *Budget) reserve(a *Account, bytes Bytes) (wait <-chan struct{}, err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.evicted || a.closed {
		return nil, ErrEvicted
	}
	held := a.held + bytes
	now := time.Now()
	for !b.limits.allows(a.stage, held, b.usage.Bytes-b.leaving+bytes) {
		if !b.evictFor(a, now) {
			return nil, b.refuse()
		}
	}
	if !b.limits.allows(a.stage, held, b.usage.Bytes+bytes) {
		return b.awaitRelease(), nil
	}
	a.held = held
	b.usage.Bytes += bytes
	return nil, nil
}

func (b *Budget) release(a *Account, bytes Bytes) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.giveBack(a, bytes)
}

// giveBack takes the bytes off the account; the mutex must be held. A closed account has none left, although its last requests may still end.
func (b *Budget) giveBack(a *Account, bytes Bytes) {
	bytes = min(bytes, a.held)
	a.held -= bytes
	b.usage.Bytes -= bytes
	if a.evicted {
		b.leaving -= bytes
	}
	b.notify()
}

func (b *Budget) close(a *Account) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	delete(b.accounts, a)
	if !a.evicted {
		b.usage.Connections--
	}
	b.giveBack(a, a.held)
}
