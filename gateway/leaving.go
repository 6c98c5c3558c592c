package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/registrar"
	"github.com/dotterelpulley/dotterelpulley/scheduler"
)

// leavingReportTime is how long this host reports an instance that told it that it was leaving, long enough for several
// digests to be lost.
const leavingReportTime = 3 * time.Second

// leavingReports holds the instances that recently told this host that they were leaving; the zero value is empty.
type leavingReports struct {
	mutex sync.Mutex
	since map[registrar.InstanceKey]time.Time
}

func (l *leavingReports) add(now time.Time, key registrar.InstanceKey) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.since == nil {
		l.since = map[registrar.InstanceKey]time.Time{}
	}
	l.since[key] = now
}

// reported returns the keys to report to the other hosts.
func (l *leavingReports) reported(now time.Time) []uint32 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	maps.DeleteFunc(l.since, func(_ registrar.InstanceKey, since time.Time) bool { return now.Sub(since) > leavingReportTime })
	var keys []uint32
	for key := range l.since {
		keys = append(keys, uint32(key))
	}
	return keys
}

// instanceOf returns the key of the start that a request was sent to, which may no longer be the registered one.
func instanceOf(e scheduler.Endpoint) registrar.InstanceKey {
	return registrar.InstanceOf(e.ID, e.StartedAt)
}

// endpointLeaves handles an endpoint's own word that it is leaving, which may come long before the store's.
func (g *Gateway) endpointLeaves(now time.Time, e scheduler.Endpoint) {
	key := instanceOf(e)
	g.registry.mutex.Lock()
	news := g.registry.MarkLeaving(now, key)
	g.registry.mutex.Unlock()
	if !news {
		return
	}
	g.metrics.Inc("endpoints-leaving")
	g.event(log.InfoLevel, "endpoint-leaving").Str("endpoint", string(e.ID)).Msg("")
	g.leaving.add(now, key)
	g.updateScheduler()
	g.peers.sendNow()
}

// markLeaving records the instances that another host reports as leaving.
func (g *Gateway) markLeaving(now time.Time, keys []uint32) {
	if len(keys) == 0 {
		return
	}
	news := false
	g.registry.mutex.Lock()
	for _, key := range keys {
		news = g.registry.MarkLeaving(now, registrar.InstanceKey(key)) || news
	}
	g.registry.mutex.Unlock()
	if news {
		g.updateScheduler()
	}
}
