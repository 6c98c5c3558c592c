package budgeter

import (
	"time"
)

// stage is how far the current request of a connection has come.
type stage int

const (
	// idle is a connection between two requests, or before the first.
	idle stage = iota
	// receiving is a connection whose request has arrived in part.
	receiving
	// serving is a connection whose request has been received and isn't answered yet.
	serving
)

// Account is what one connection holds; a nil account is charged nothing.
type Account struct {
	budget *Budget
	evict  func()

	// The budget's mutex guards the fields below.
	held  Bytes
	stage stage
	// completed means that a request has been answered on the connection; since is when it opened or entered its stage.
	completed bool
	since     time.Time
	// evicted means that the connection was closed for others, closed that the account was.
	evicted bool
	closed  bool
}

// Reserve charges the bytes, for which other connections may be closed; it returns ErrFull if there is no room, or ErrEvicted.
func (a *Account) Reserve(bytes Bytes) error {
	if a == nil {
		return nil
	}
	wait, err := a.budget.reserve(a, bytes)
	if wait == nil {
		return err
	}
	timeout := time.NewTimer(evictionTimeout)
	defer timeout.Stop()
	for wait != nil {
		select {
		case <-wait:
			wait, err = a.budget.reserve(a, bytes)
		case <-timeout.C:
			return a.budget.refuse()
		}
	}
	return err
}

// Release gives bytes back that have been reserved.
func (a *Account) Release(bytes Bytes) {
	if a != nil && bytes != 0 {
		a.budget.release(a, bytes)
	}
}

// Serve notes that the current request has been received whole: its connection isn't closed any more until it is answered.
func (a *Account) Serve() {
	if a != nil {
		a.enter(serving)
	}
}

// Close gives back all that the account holds.
func (a *Account) Close() {
	a.budget.close(a)
}

func (a *Account) enter(s stage) {
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.stage, a.since = s, time.Now()
	a.completed = a.completed || s == idle
}

// touch notes that a connection of several requests at once is in use, so that those that aren't are closed before it.
func (a *Account) touch() {
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.completed, a.since = true, time.Now()
}
