package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/relayer"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	// operatorsReadWait is how long a read waits for a change, short enough that two lost reads and a relay stay within the revocation limit.
	operatorsReadWait = 800 * time.Millisecond
	// storeAnswerTimeout is the time limit of a call beyond its wait, longer than a slow store takes.
	storeAnswerTimeout = 900 * time.Millisecond
	// storeOverdueAfter is the time beyond its wait after which an unanswered call makes another host read the store.
	storeOverdueAfter = 350 * time.Millisecond
	// storeRetryDelay is the delay after a failed call; the store's rate limit permits all hosts to retry at this rate.
	storeRetryDelay = 150 * time.Millisecond
	// fallbackRetryDelay is the retry delay of a host that reads only because it gets no updates from the readers, and of a host's registration.
	fallbackRetryDelay = time.Second
	// readCheckInterval is the time between two checks of whether this host must read the store.
	readCheckInterval = 100 * time.Millisecond
	// endpointsReadInterval is the time between two reads of registrations, of which some 10 change a second; it is a third of the platform's drain limit.
	endpointsReadInterval = 800 * time.Millisecond
)

// topicReader reads one topic of the store, starting with the newest record of each key.
type topicReader struct {
	topic  platform.Topic
	synced bool
	next   platform.Offset
	era    dotterelpulley.StoreEra
	// failing reports whether the last call failed.
	failing bool
}

// topicRecords are records read from a topic.
type topicRecords struct {
	records []platform.Record
	// complete means that these are the newest records of all keys rather than the new ones.
	complete bool
	era      dotterelpulley.StoreEra
	// next is the offset up to which the topic is known.
	next platform.Offset
}

// readWait returns how long the next call may wait for new records: only a read after a successful read waits at all.
func (r *topicReader) readWait(maxWait time.Duration) time.Duration {
	if r.failing || !r.synced {
		return 0
	}
	return maxWait
}

// read returns the records that follow, or the newest record of each key at first and after a gap.
func (r *topicReader) read(ctx context.Context, store *platform.Store, wait time.Duration) (topicRecords, error) {
	if !r.synced {
		snapshot, err := store.Newest(ctx, r.topic)
		if err != nil {
			return topicRecords{}, err
		}
		r.synced, r.next, r.era = true, snapshot.Next, snapshot.Era
		return topicRecords{records: snapshot.Records, complete: true, era: snapshot.Era, next: snapshot.Next}, nil
	}
	records, next, err := store.Read(ctx, platform.Position{Topic: r.topic, Next: r.next, Era: r.era}, wait)
	if err != nil {
		return topicRecords{}, err
	}
	r.next = next
	return topicRecords{records: records, era: r.era, next: next}, nil
}

// readNext returns new records of the topic, or the newest record of each key after a gap.
func (g *Gateway) readNext(reader *topicReader, wait time.Duration) (topicRecords, error) {
	wait = reader.readWait(wait)
	ctx, cancel := context.WithTimeout(g.ctx, wait+storeAnswerTimeout)
	defer cancel()
	overdue := time.AfterFunc(wait+storeOverdueAfter, g.noteStoreOverdue)
	defer overdue.Stop()
	g.metrics.Inc("store-calls")
	read, err := reader.read(ctx, g.store, wait)
	g.noteEra(time.Now())
	if platform.IsTrimmed(err) {
		g.event(log.InfoLevel, "store-trimmed").Str("topic", string(reader.topic)).Int64("from", int64(reader.next)).Err(err).Msg("")
		reader.synced = false
	}
	if failing := err != nil; failing != reader.failing && g.ctx.Err() == nil {
		reader.failing = failing
		name := "store-regained"
		if failing {
			name = "store-lost"
		}
		g.event(log.InfoLevel, name).Str("topic", string(reader.topic)).Err(err).Msg("")
	}
	return read, err
}

// noteStoreOverdue makes another host read the store while a call of this one goes unanswered: to wait for the call's time
// limit as well would leave the hosts that follow this one behind for too long.
func (g *Gateway) noteStoreOverdue() {
	if g.ctx.Err() != nil {
		return
	}
	g.event(log.InfoLevel, "store-overdue").Msg("")
	g.storeAccess.lost(time.Now())
	g.readers.expire()
	g.changes.wake()
	g.announceToReaders()
}

// followOperators applies each newer configuration and order.
func (g *Gateway) followOperators() {
	reader := topicReader{topic: platform.OperatorsTopic}
	for g.ctx.Err() == nil {
		if !g.mustReadStore(time.Now()) {
			reader.synced = false
			repeater.Sleep(g.ctx, readCheckInterval)
			continue
		}
		startedAt := sinceBoot()
		read, err := g.readNext(&reader, operatorsReadWait)
		if err != nil {
			g.storeAccess.failed(time.Now())
			repeater.Sleep(g.ctx, g.retryDelay())
			continue
		}
		g.storeAccess.succeeded()
		g.applyOperatorsRecords(read)
		g.verifyEra()
		if g.copyGuard.complete(time.Now()) {
			g.freshness.confirm(startedAt)
		}
	}
}

// applyOperatorsRecords applies a batch of the operators' records, oldest first.
func (g *Gateway) applyOperatorsRecords(read topicRecords) {
	slices.SortFunc(read.records, func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range read.records {
		switch {
		case r.Key == platform.ConfigurationKey && len(r.Value) > 0:
			g.applyConfiguration(r.Value, r.Offset)
		case platform.IsRolloutKey(r.Key):
			g.applyOrder(relayer.Order{
				Record: relayer.Record{Key: r.Key, Value: r.Value}, After: relayer.Position{Era: read.era, Next: int64(r.Offset) + 1},
			})
		}
	}
}

// retryDelay returns the delay after a failed call, longer for hosts that aren't designated readers.
func (g *Gateway) retryDelay() time.Duration {
	if g.isReader(time.Now()) {
		return storeRetryDelay
	}
	return fallbackRetryDelay
}
