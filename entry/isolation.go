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
	suspectPollInterval = 20 * time.Millisecond
	suspectWaitLimit    = 2 * time.Second
)

// isolation guards the isolator that this host's requests share.
type isolation struct {
	mu   sync.Mutex
	core isolator.Isolator
}

func (i *isolation) check(f isolator.Fingerprint) (v isolator.Verdict, alone bool) {
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

func (i *isolation) completed(f isolator.Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Completed(time.Now(), f)
}

func (i *isolation) endpointCrashed(endpoint dotterelpulley.EndpointID) []isolator.Crash {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.core.EndpointCrashed(time.Now(), endpoint)
}

func (i *isolation) addCrash(crash isolator.Crash) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.core.AddCrash(crash)
}

func (i *isolation) prune() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Prune(time.Now())
}

// admit refuses a request that has crashed endpoints. A suspect request waits up to suspectWaitLimit until no
// suspect request is active on this host.
func (e *Entry) admit(r *run) *dotterelpulley.Refusal {
	f := isolator.FingerprintOf(r.request)
	deadline := time.Now().Add(suspectWaitLimit)
	for {
		v, alone := e.isolation.check(f)
		switch {
		case v == isolator.Isolated:
			return dotterelpulley.Refuse(dotterelpulley.ErrorIsolated, 0, "endpoints have crashed while they ran this request")
		case v == isolator.Unrestricted || alone || time.Now().After(deadline):
			return nil
		}
		select {
		case <-time.After(suspectPollInterval):
		case <-r.ctx.Done():
			return dotterelpulley.Refuse(dotterelpulley.ErrorDeadlinePassed, 0, "the request waited until its deadline")
		}
	}
}

// reportCrash records that an endpoint has crashed and broadcasts the attempts that were active on it.
func (e *Entry) reportCrash(endpoint endpointInfo) {
	crashes := e.isolation.endpointCrashed(endpoint.ID)
	if len(crashes) == 0 {
		return
	}
	e.counters.Inc("endpoints-lost")
	e.log.Warn().Str("event", "endpoint-lost").Str("endpoint", string(endpoint.ID)).Int("suspects", len(crashes)).Msg("")
	e.gossip.broadcastCrash(time.Now(), crashes)
}

// refusesConnections reports whether the address refuses connections, which indicates that the process has ended.
func refusesConnections(address dotterelpulley.Address, timeout time.Duration) bool {
	conn, err := net.DialTimeout("tcp", string(address), timeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
