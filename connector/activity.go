package connector

import (
	"sync"
	"time"
)

// activity tells when the endpoints last sent anything; the zero value is ready to use.
type activity struct {
	mutex sync.Mutex
	// exchanges counts those in progress; since is when bytes last arrived, or when the first of them began.
	exchanges int
	since     time.Time
}

func (a *activity) begin(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.exchanges == 0 {
		a.since = now
	}
	a.exchanges++
}

func (a *activity) end() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.exchanges--
}

func (a *activity) heard() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.since = time.Now()
}

func (a *activity) silence(now time.Time) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.exchanges == 0 {
		return 0
	}
	return now.Sub(a.since)
}
