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

// check returns the verdict on a request, and whether neither the request itself nor another suspect request is active
// on this host.
func (i *isolation) check(fingerprint isolator.Fingerprint) (v isolator.Verdict, alone bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	v, avoid := i.core.Check(time.Now(), fingerprint)
	return v, len(avoid) == 0 && !i.core.Running(fingerprint)
}

func (i *isolation) started(fingerprint isolator.Fingerprint, endpoint dotterelpulley.EndpointID, id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Started(time.Now(), fingerprint, endpoint, isolator.AttemptOf(id))
}

func (i *isolation) ended(endpoint dotterelpulley.EndpointID, id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Ended(endpoint, isolator.AttemptOf(id))
}

func (i *isolation) completed(fingerprint isolator.Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Completed(time.Now(), fingerprint)
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
	fingerprint := isolator.FingerprintOf(r.request)
	deadline := time.Now().Add(suspectWaitLimit)
	for {
		verdict, alone := e.isolation.check(fingerprint)
		switch {
		case verdict == isolator.Isolated:
			return dotterelpulley.Refuse(dotterelpulley.ErrorIsolated, 0, "endpoints have crashed while they ran this request")
		case verdict == isolator.Unrestricted || alone || time.Now().After(deadline):
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
