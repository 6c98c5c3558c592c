package entry

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/isolator"
)

const (
	suspectPoll  = 20 * time.Millisecond
	suspectLimit = 2 * time.Second
)

// isolation shares the isolator between this host's requests.
type isolation struct {
	mu   sync.Mutex
	core isolator.Isolator
}

func (i *isolation) judge(f isolator.Fingerprint) (v isolator.Verdict, alone bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	v, avoid := i.core.Check(time.Now(), f)
	return v, len(avoid) == 0 && !i.core.Running(f)
}

func (i *isolation) started(f isolator.Fingerprint, endpoint dotterelpulley.EndpointID, id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Started(time.Now(), f, endpoint, isolator.AttemptOf(id))
}

func (i *isolation) ended(endpoint dotterelpulley.EndpointID, id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Ended(endpoint, isolator.AttemptOf(id))
}

func (i *isolation) whole(f isolator.Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Completed(time.Now(), f)
}

func (i *isolation) died(endpoint dotterelpulley.EndpointID) []isolator.Crash {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.core.EndpointCrashed(time.Now(), endpoint)
}

func (i *isolation) learn(d isolator.Crash) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.core.AddCrash(d)
}

func (i *isolation) prune() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Prune(time.Now())
}

// admit refuses a request that crashes endpoints; a suspect waits until no other suspect runs here.
func (e *Entry) admit(r *run) *dotterelpulley.Refusal {
	f := isolator.FingerprintOf(r.request)
	giveUp := time.Now().Add(suspectLimit)
	for {
		v, alone := e.isolation.judge(f)
		switch {
		case v == isolator.Isolated:
			return dotterelpulley.Refuse(dotterelpulley.ErrorIsolated, 0, "endpoints have crashed while they ran this request")
		case v == isolator.Unrestricted || alone || time.Now().After(giveUp):
			return nil
		}
		select {
		case <-time.After(suspectPoll):
		case <-r.ctx.Done():
			return dotterelpulley.Refuse(dotterelpulley.ErrorDeadlinePassed, 0, "the request waited until its deadline")
		}
	}
}

// lost notes that an endpoint has died and tells the other entry hosts what ran on it.
func (e *Entry) lost(endpoint known) {
	deaths := e.isolation.died(endpoint.ID)
	if len(deaths) == 0 {
		return
	}
	e.counters.Inc("endpoints-lost")
	e.log.Warn().Str("event", "endpoint-lost").Str("endpoint", string(endpoint.ID)).Int("suspects", len(deaths)).Msg("")
	e.gossip.spreadDeaths(time.Now(), deaths)
}

// refuses reports whether the address refuses connections, as a dead process's does.
func refuses(address dotterelpulley.Address, timeout time.Duration) bool {
	conn, err := net.DialTimeout("tcp", string(address), timeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
