package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/repeater"
)

// maxKeptParts limits the parts that are read from the store at a start.
const maxKeptParts = 64

// partKeeper holds the parts whose record in the store is to be written; the zero value is ready to use.
type partKeeper struct {
	once    sync.Once
	signal  chan struct{}
	mutex   sync.Mutex
	pending map[isolator.Part]bool
}

func (k *partKeeper) requested() chan struct{} {
	k.once.Do(func() { k.signal = make(chan struct{}, 1) })
	return k.signal
}

// add adds a part; more than maxKeptParts would cost the store more than they are worth.
func (k *partKeeper) add(p isolator.Part) {
	k.mutex.Lock()
	if k.pending == nil {
		k.pending = map[isolator.Part]bool{}
	}
	if len(k.pending) < maxKeptParts {
		k.pending[p] = true
	}
	k.mutex.Unlock()
	select {
	case k.requested() <- struct{}{}:
	default:
	}
}

// take removes a part and returns it. It is added again if it changes while it is being written.
func (k *partKeeper) take() (isolator.Part, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for p := range k.pending {
		delete(k.pending, p)
		return p, true
	}
	return 0, false
}

// keptIncident is an incident of an isolated part in the store, for hosts that all start at once.
type keptIncident struct {
	Incident uint32 `json:"incident"`
	Evidence uint8  `json:"evidence"`
	AgeMS    int64  `json:"age-ms"`
}

// keepAllIsolated writes what is isolated again after the store's return from a copy, each by one host.
func (g *Gateway) keepAllIsolated(now time.Time) {
	mayTry := g.mayTryPart(now)
	for kind := range isolationKinds {
		i := &g.isolations[kind]
		g.mutex.Lock()
		isolated := i.Isolated(now)
		g.mutex.Unlock()
		for _, p := range isolated {
			if mayTry(p) {
				i.keeper.add(p)
			}
		}
	}
}

// keepIsolated reads what is isolated once and then writes what changes.
func (g *Gateway) keepIsolated(i *isolation) {
	for g.ctx.Err() == nil {
		err := g.readKeptParts(i)
		if err == nil {
			break
		}
		g.event(log.InfoLevel, "parts-unread").Str("topic", string(i.topic)).Err(err).Msg("")
		repeater.Sleep(g.ctx, fallbackRetryDelay)
	}
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-i.keeper.requested():
		}
		for p, ok := i.keeper.take(); ok && g.ctx.Err() == nil; p, ok = i.keeper.take() {
			if err := g.writeKeptPart(i, p); err != nil {
				g.event(log.InfoLevel, "part-unwritten").Str("topic", string(i.topic)).Str("part", p.String()).Err(err).Msg("")
				i.keeper.add(p)
				repeater.Sleep(g.ctx, fallbackRetryDelay+rand.N(fallbackRetryDelay))
			}
		}
	}
}

func (g *Gateway) readKeptParts(i *isolation) error {
	ctx, cancel := context.WithTimeout(g.ctx, storeAnswerTimeout)
	defer cancel()
	snapshot, err := g.store.Newest(ctx, i.topic)
	if err != nil {
		return fmt.Errorf("read isolated parts: %w", err)
	}
	var facts []isolator.PartFact
	for _, r := range snapshot.Records[:min(len(snapshot.Records), maxKeptParts)] {
		if len(r.Value) == 0 {
			continue
		}
		decoded, err := decodeKeptPart(r)
		if err != nil {
			g.event(log.WarnLevel, "part-unreadable").Str("part", r.Key).Err(err).Msg("")
			continue
		}
		facts = append(facts, decoded...)
	}
	g.mutex.Lock()
	changes := i.Receive(time.Now(), facts)
	g.mutex.Unlock()
	g.logChanges(i.kind, changes, "kept in the store")
	return nil
}

func (g *Gateway) writeKeptPart(i *isolation, p isolator.Part) error {
	ctx, cancel := context.WithTimeout(g.ctx, storeAnswerTimeout)
	defer cancel()
	g.mutex.Lock()
	record, err := encodeKeptPart(p, i.State(time.Now(), p), i.FactsOf(time.Now(), p))
	g.mutex.Unlock()
	if err != nil {
		return err
	}
	if _, err := g.store.Append(ctx, i.topic, record); err != nil {
		return fmt.Errorf("write part %s: %w", p, err)
	}
	return nil
}

func encodeKeptPart(p isolator.Part, state isolator.PartState, facts []isolator.PartFact) (platform.Record, error) {
	record := platform.Record{Key: p.String()}
	if state != isolator.IsolatedPart {
		return record, nil
	}
	var kept []keptIncident
	for _, f := range facts {
		kept = append(kept, keptIncident{Incident: uint32(f.Incident), Evidence: uint8(f.Evidence), AgeMS: f.Age.Milliseconds()})
	}
	var err error
	if record.Value, err = json.Marshal(kept); err != nil {
		return platform.Record{}, fmt.Errorf("encode part %s: %w", p, err)
	}
	return record, nil
}

func decodeKeptPart(r platform.Record) ([]isolator.PartFact, error) {
	id, err := strconv.ParseUint(r.Key, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("decode part: %w", err)
	}
	var kept []keptIncident
	if err := json.Unmarshal(r.Value, &kept); err != nil {
		return nil, fmt.Errorf("decode part: %w", err)
	}
	var facts []isolator.PartFact
	for _, k := range kept {
		facts = append(facts, isolator.PartFact{
			Part: isolator.Part(id), Incident: isolator.Incident(k.Incident), Evidence: isolator.Evidence(k.Evidence), Age: time.Duration(k.AgeMS) * time.Millisecond,
		})
	}
	return facts, nil
}
