package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	// operatorsWait is how long a read waits for a change, so short that two lost reads and a relay stay within the revocation limit.
	operatorsWait = 800 * time.Millisecond
	// answerLimit is the longest time for an answer beyond the wait, above that of a slow store.
	answerLimit = 900 * time.Millisecond
	// retryAfter is the pause after a failed call, which the store's rate allows to all hosts.
	retryAfter = 150 * time.Millisecond
	// standInRetry is the same for a host that reads only as it hears of nothing from those that do, and for a host's own entry.
	standInRetry = time.Second
	// readCheck is the time between two looks at whether this host has to read.
	readCheck = 100 * time.Millisecond
	// endpointsEvery is the time between two reads of endpoints' entries, some 10 of which change a second; a third of the drain limit.
	endpointsEvery = 800 * time.Millisecond
	// lapseGrace is how long an entry that went while the store was away is kept after its return, for its endpoint to renew it.
	lapseGrace = 1900 * time.Millisecond
	// awayAfter is the time without an answer after which the store counts as away.
	awayAfter = 1200 * time.Millisecond
)

// follower reads one topic of the store from its newest records on.
type follower struct {
	topic  platform.Topic
	synced bool
	from   platform.Offset
	// lost tells that the last call failed.
	lost bool
}

// wait is how long the next call may wait for something new: only a read that follows a good one waits at all.
func (f *follower) wait(most time.Duration) time.Duration {
	if f.lost || !f.synced {
		return 0
	}
	return most
}

// next returns records that are new, all newest ones after a gap; whole tells that they are all there are.
func (g *Gateway) next(f *follower, wait time.Duration) (records []platform.Record, whole bool, err error) {
	wait = f.wait(wait)
	ctx, cancel := context.WithTimeout(g.ctx, wait+answerLimit)
	defer cancel()
	g.metrics.Inc("store-calls")
	if !f.synced {
		records, f.from, err = g.store.Newest(ctx, f.topic)
		whole = true
	} else {
		records, f.from, err = g.store.Read(ctx, f.topic, f.from, wait)
	}
	if platform.IsTrimmed(err) {
		g.event(log.InfoLevel, "store-trimmed").Str("topic", string(f.topic)).Int64("from", int64(f.from)).Msg("")
		f.synced = false
	} else if err == nil {
		f.synced = true
	}
	if lost := err != nil; lost != f.lost && g.ctx.Err() == nil {
		f.lost = lost
		name := "store-regained"
		if lost {
			name = "store-lost"
		}
		g.event(log.InfoLevel, name).Str("topic", string(f.topic)).Err(err).Msg("")
	}
	return records, whole, err
}

// followOperators puts each newer configuration in force.
func (g *Gateway) followOperators() {
	f := follower{topic: platform.OperatorsTopic}
	for g.ctx.Err() == nil {
		if !g.reads(time.Now()) {
			f.synced = false
			repeater.Sleep(g.ctx, readCheck)
			continue
		}
		begun := sinceBoot()
		records, _, err := g.next(&f, operatorsWait)
		if err != nil {
			g.reading.failed(time.Now())
			repeater.Sleep(g.ctx, g.retryAfter())
			continue
		}
		g.reading.reached()
		for _, r := range records {
			if r.Key == platform.ConfigurationKey && len(r.Value) > 0 {
				g.configure(r.Value, r.Offset)
			}
		}
		g.contact.prove(begun)
	}
}

// retryAfter is the pause after a failed call; hosts that only stand in for the readers take longer.
func (g *Gateway) retryAfter() time.Duration {
	if g.designated(time.Now()) {
		return retryAfter
	}
	return standInRetry
}
