package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/promoter"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

const (
	// statusInterval is the time between two looks at whether the store holds the status of all roll-outs.
	statusInterval = 50 * time.Millisecond
	// maxProofAge is the age from which on evidence no longer supports a completion.
	maxProofAge = 800 * time.Millisecond
	// handoverTime is how long each reader gives those before it to write an outcome, so that one of them may be frozen.
	handoverTime = 150 * time.Millisecond
)

// statusWriter writes the status of roll-outs on the condition that no other host has written since it last read. Its first
// write after each reading takes the topic over, which fails the writes of the host that wrote before.
type statusWriter struct {
	// end is where the topic ends as far as this host knows; synced is false if it doesn't.
	end    platform.Position
	synced bool
	// written is what this host has written since it last read.
	written map[dotterelpulley.ServiceID]orderStatus
	// wantedSince is since when each status is wanted.
	wantedSince map[orderStatus]time.Time
}

// orderStatus is a status with the order that it is for, as a version may be ordered again.
type orderStatus struct {
	dotterelpulley.RolloutStatus
	order promoter.Number
}

// writeRolloutStatus keeps the status of the roll-outs in the store up to date while this host reads the store for others.
func (g *Gateway) writeRolloutStatus() {
	var w statusWriter
	for g.ctx.Err() == nil {
		repeater.Sleep(g.ctx, statusInterval)
		now := time.Now()
		p := &g.promotions
		p.mutex.Lock()
		unfinished := p.promoter.Unfinished()
		p.mutex.Unlock()
		rank := slices.Index(g.selectReaders(now), g.settings.Host)
		if len(unfinished) == 0 || rank < 0 {
			w = statusWriter{}
			continue
		}
		if err := g.writeStatuses(&w, rank, unfinished); err != nil && g.ctx.Err() == nil {
			w.synced = false
			g.metrics.Inc("rollout-status-failures")
			g.event(log.InfoLevel, "rollout-status-failed").Err(err).Msg("")
			repeater.Sleep(g.ctx, storeRetryDelay)
		}
	}
}

// writeStatuses writes what the store lacks. After an error it has to be read again, as the answer may have been lost.
func (g *Gateway) writeStatuses(w *statusWriter, rank int, unfinished []promoter.Change) error {
	ctx, cancel := context.WithTimeout(g.ctx, storeAnswerTimeout)
	defer cancel()
	for _, c := range unfinished {
		if rank > 0 {
			// What another host wrote is seen only by reading again.
			w.synced = false
		} else if err := g.syncStatuses(ctx, w); err != nil {
			return err
		}
		wanted, ok := g.wantedStatus(w, rank, c.Order)
		if !ok {
			continue
		}
		if err := g.syncStatuses(ctx, w); err != nil {
			return err
		}
		if wanted, ok = g.wantedStatus(w, rank, c.Order); !ok {
			continue
		}
		end, err := g.store.AppendAt(ctx, platform.StatusTopic, w.end, platform.EncodeRolloutStatus(wanted))
		if err != nil {
			return err
		}
		w.end, w.written[c.Service] = end, orderStatus{wanted, c.Number}
		g.event(log.InfoLevel, "rollout-status").Str("service", string(wanted.Service)).Str("target", string(wanted.Target)).
			Str("state", wanted.State.String()).Msg("")
		g.applyStored(wanted, end)
	}
	return nil
}

// wantedStatus returns the status that this host has to write. A reader after the first one writes an outcome alone, if those
// before it haven't for some time.
func (g *Gateway) wantedStatus(w *statusWriter, rank int, order promoter.Order) (dotterelpulley.RolloutStatus, bool) {
	now := time.Now()
	p := &g.promotions
	p.mutex.Lock()
	proof := p.proofs[order.Service]
	if now.Sub(proof.at) > maxProofAge || proof.order != order.Number {
		proof = datedProof{}
	}
	wanted, ok := p.promoter.Wanted(now, order.Service, proof.Proof)
	p.mutex.Unlock()
	key := orderStatus{wanted, order.Number}
	if !ok || w.written[order.Service] == key {
		return wanted, false
	}
	if w.wantedSince == nil {
		w.wantedSince = map[orderStatus]time.Time{}
	}
	since, known := w.wantedSince[key]
	if !known {
		since, w.wantedSince[key] = now, now
	}
	return wanted, rank == 0 || wanted.State != dotterelpulley.RolloutInProgress && now.Sub(since) >= time.Duration(rank)*handoverTime
}

// syncStatuses applies the statuses in the store if this host doesn't know where the topic ends.
func (g *Gateway) syncStatuses(ctx context.Context, w *statusWriter) error {
	if w.synced {
		return nil
	}
	snapshot, err := g.store.Newest(ctx, platform.StatusTopic)
	if err != nil {
		return err
	}
	for _, r := range snapshot.Records {
		status, err := platform.DecodeRolloutStatus(r)
		if err != nil {
			g.event(log.WarnLevel, "rollout-status-unreadable").Str("key", r.Key).Err(err).Msg("")
			continue
		}
		g.applyStored(status, platform.Position{Topic: platform.StatusTopic, Next: r.Offset + 1, Era: snapshot.Era})
	}
	w.end = platform.Position{Topic: platform.StatusTopic, Next: snapshot.Next, Era: snapshot.Era}
	w.synced, w.written = true, map[dotterelpulley.ServiceID]orderStatus{}
	return nil
}

// applyStored applies a status that the store holds before the position.
func (g *Gateway) applyStored(status dotterelpulley.RolloutStatus, after platform.Position) {
	p := &g.promotions
	p.mutex.Lock()
	change, advanced := p.promoter.Stored(time.Now(), status, promoter.Number{Era: after.Era, Next: int64(after.Next)})
	p.mutex.Unlock()
	if advanced {
		g.applyStage(time.Now(), change)
	}
}
