package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	// operatorsReadWait is how long a read waits for a change, short enough that two lost reads and a relay stay within the revocation limit.
	operatorsReadWait = 800 * time.Millisecond
	// storeAnswerTimeout is the time limit of a call beyond its wait, longer than a slow store takes.
	storeAnswerTimeout = 900 * time.Millisecond
	// storeRetryDelay is the delay after a failed call; the store's rate limit permits all hosts to retry at this rate.
	storeRetryDelay = 150 * time.Millisecond
	// fallbackRetryDelay is the retry delay of a host that reads only because it gets no updates from the readers, and of a host's registration.
	fallbackRetryDelay = time.Second
	// readCheckInterval is the time between two checks of whether this host must read the store.
	readCheckInterval = 100 * time.Millisecond
	// endpointsReadInterval is the time between two reads of registrations, of which some 10 change a second; it is a third of the platform's drain limit.
	endpointsReadInterval = 800 * time.Millisecond
	// expiryGrace is how long a registration that expired during a store outage is kept after the outage, for its endpoint to renew it.
	expiryGrace = 1900 * time.Millisecond
	// storeOutageThreshold is the time without an answer after which the store counts as unavailable.
	storeOutageThreshold = 1200 * time.Millisecond
)

// topicReader reads one topic of the store, starting with the newest record of each key.
type topicReader struct {
	topic      platform.Topic
	synced     bool
	nextOffset platform.Offset
	// failing reports whether the last call failed.
	failing bool
}

// readWait returns how long the next call may wait for new records: only a read after a successful read waits at all.
func (r *topicReader) readWait(maxWait time.Duration) time.Duration {
	if r.failing || !r.synced {
		return 0
	}
	return maxWait
}

// readNext returns new records, or the newest record of each key after a gap; complete means that these are all records.
func (g *Gateway) readNext(reader *topicReader, wait time.Duration) (records []platform.Record, complete bool, err error) {
	wait = reader.readWait(wait)
	ctx, cancel := context.WithTimeout(g.ctx, wait+storeAnswerTimeout)
	defer cancel()
	g.metrics.Inc("store-calls")
	if !reader.synced {
		records, reader.nextOffset, err = g.store.Newest(ctx, reader.topic)
		complete = true
	} else {
		records, reader.nextOffset, err = g.store.Read(ctx, reader.topic, reader.nextOffset, wait)
	}
	if platform.IsTrimmed(err) {
		g.event(log.InfoLevel, "store-trimmed").Str("topic", string(reader.topic)).Int64("from", int64(reader.nextOffset)).Msg("")
		reader.synced = false
	} else if err == nil {
		reader.synced = true
	}
	if failing := err != nil; failing != reader.failing && g.ctx.Err() == nil {
		reader.failing = failing
		name := "store-regained"
		if failing {
			name = "store-lost"
		}
		g.event(log.InfoLevel, name).Str("topic", string(reader.topic)).Err(err).Msg("")
	}
	return records, complete, err
}

// followOperators applies each newer configuration.
func (g *Gateway) followOperators() {
	reader := topicReader{topic: platform.OperatorsTopic}
	for g.ctx.Err() == nil {
		if !g.mustReadStore(time.Now()) {
			reader.synced = false
			repeater.Sleep(g.ctx, readCheckInterval)
			continue
		}
		startedAt := sinceBoot()
		records, _, err := g.readNext(&reader, operatorsReadWait)
		if err != nil {
			g.storeAccess.failed(time.Now())
			repeater.Sleep(g.ctx, g.retryDelay())
			continue
		}
		g.storeAccess.succeeded()
		for _, r := range records {
			if r.Key == platform.ConfigurationKey && len(r.Value) > 0 {
				g.applyConfiguration(r.Value, r.Offset)
			}
		}
		g.freshness.confirm(startedAt)
	}
}

// retryDelay returns the delay after a failed call, longer for hosts that aren't designated readers.
func (g *Gateway) retryDelay() time.Duration {
	if g.isReader(time.Now()) {
		return storeRetryDelay
	}
	return fallbackRetryDelay
}
