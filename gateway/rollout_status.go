package gateway

import (
	"context"
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
)

// statusWriter writes the status of roll-outs on the condition that no other host has written since it last read. Its first
// write after each reading takes the topic over, which fails the writes of the host that wrote before.
type statusWriter struct {
	// end is where the topic ends as far as this host knows; synced is false if it doesn't.
	end    platform.Position
	synced bool
	// written is what this host has written since it last read.
	written map[dotterelpulley.ServiceID]dotterelpulley.RolloutStatus
}

// writeRolloutStatus keeps the status of the roll-outs in the store up to date while this host is the first reader.
func (g *Gateway) writeRolloutStatus() {
	var w statusWriter
	for g.ctx.Err() == nil {
		repeater.Sleep(g.ctx, statusInterval)
		now := time.Now()
		p := &g.promotions
		p.mutex.Lock()
		unfinished := p.promoter.Unfinished()
		p.mutex.Unlock()
		if readers := g.selectReaders(now); len(unfinished) == 0 || len(readers) == 0 || readers[0] != g.settings.Host {
			w.synced = false
			continue
		}
		if err := g.writeStatuses(&w, unfinished); err != nil && g.ctx.Err() == nil {
			w.synced = false
			g.metrics.Inc("rollout-status-failures")
			g.event(log.InfoLevel, "rollout-status-failed").Err(err).Msg("")
			repeater.Sleep(g.ctx, storeRetryDelay)
		}
	}
}

// writeStatuses writes what the store lacks; after an error it has to be read again, as the answer may have been lost.
func (g *Gateway) writeStatuses(w *statusWriter, unfinished []promoter.Change) error {
	ctx, cancel := context.WithTimeout(g.ctx, storeAnswerTimeout)
	defer cancel()
	if !w.synced {
		return g.readStatuses(ctx, w)
	}
	for _, c := range unfinished {
		now := time.Now()
		p := &g.promotions
		p.mutex.Lock()
		proof := p.proofs[c.Service]
		if now.Sub(proof.at) > maxProofAge {
			proof = datedProof{}
		}
		wanted, ok := p.promoter.Wanted(now, c.Service, proof.Proof)
		p.mutex.Unlock()
		if last, written := w.written[c.Service]; !ok || written && last == wanted {
			continue
		}
		end, err := g.store.AppendAt(ctx, platform.StatusTopic, w.end, platform.EncodeRolloutStatus(wanted))
		if err != nil {
			return err
		}
		w.end, w.written[c.Service] = end, wanted
		g.event(log.InfoLevel, "rollout-status").Str("service", string(wanted.Service)).Str("target", string(wanted.Target)).
			Str("state", wanted.State.String()).Msg("")
		g.applyStored(wanted)
	}
	return nil
}

// readStatuses applies the statuses in the store.
func (g *Gateway) readStatuses(ctx context.Context, w *statusWriter) error {
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
		g.applyStored(status)
	}
	w.end = platform.Position{Topic: platform.StatusTopic, Next: snapshot.Next, Era: snapshot.Era}
	w.synced, w.written = true, map[dotterelpulley.ServiceID]dotterelpulley.RolloutStatus{}
	return nil
}

// applyStored applies a status that the store holds.
func (g *Gateway) applyStored(status dotterelpulley.RolloutStatus) {
	p := &g.promotions
	p.mutex.Lock()
	change, advanced := p.promoter.Stored(status)
	p.mutex.Unlock()
	if advanced {
		g.applyStage(time.Now(), change)
	}
}
