package entry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/gossiper"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

const (
	// badVersionTTL is how long a verdict is gossiped; hosts that have received it keep it until its move ends.
	badVersionTTL = 24 * time.Hour
	// crashTTL is how long a crash is gossiped.
	crashTTL = time.Hour
	// maxReasonBytes is the maximum length in bytes of a verdict's reason in a fact.
	maxReasonBytes = 256
	// maxFactValueBytes is the maximum size in bytes of a fact's value.
	maxFactValueBytes = 1 << 10
	// attemptsPerFact keeps a crash fact within maxFactValueBytes.
	attemptsPerFact = 40
)

// badVersionFact returns the verdict as a fact; there is one fact per move.
func badVersionFact(now time.Time, bad recorder.BadVersion) (gossiper.Fact, error) {
	bad.Reason = strings.ToValidUTF8(bad.Reason[:min(len(bad.Reason), maxReasonBytes)], "")
	move := bad.Move.String()
	data, err := recorder.Encode(recorder.Envelope{ID: recorder.RecordID(move), Body: bad})
	if err != nil {
		return gossiper.Fact{}, err
	}
	return gossiper.Fact{Kind: gossiper.KindBadVersion, Subject: move, Revision: 1, Value: data, Expires: now.Add(badVersionTTL)}, nil
}

func decodeBadVersion(data []byte) (recorder.BadVersion, error) {
	env, err := recorder.Decode(data)
	if err != nil {
		return recorder.BadVersion{}, fmt.Errorf("take a verdict on a version: %w", err)
	}
	bad, ok := env.Body.(recorder.BadVersion)
	if !ok {
		return recorder.BadVersion{}, fmt.Errorf("record %q is no verdict on a version", env.ID)
	}
	return bad, nil
}

// crashFacts returns the attempts that were active on a crashed endpoint as facts of at most attemptsPerFact attempts.
func crashFacts(crashes []isolator.Crash) ([]gossiper.Fact, error) {
	var facts []gossiper.Fact
	for chunk := range slices.Chunk(crashes, attemptsPerFact) {
		value, err := proto.Marshal(crashToWire(chunk))
		if err != nil {
			return nil, fmt.Errorf("encode crash of endpoint %q: %w", chunk[0].Endpoint, err)
		}
		facts = append(facts, gossiper.Fact{
			Kind:     gossiper.KindCrash,
			Subject:  chunk[0].Attempt.String(),
			Revision: 1,
			Value:    value,
			Expires:  chunk[0].At.Add(crashTTL),
		})
	}
	return facts, nil
}

func crashToWire(crashes []isolator.Crash) *peerpb.Crash {
	w := &peerpb.Crash{Endpoint: string(crashes[0].Endpoint), AtUnixNanos: crashes[0].At.UnixNano()}
	for _, crash := range crashes {
		w.Fingerprints = append(w.Fingerprints, uint64(crash.Fingerprint))
		w.Attempts = append(w.Attempts, uint64(crash.Attempt))
		w.RanMillis = append(w.RanMillis, crash.At.Sub(crash.Started).Milliseconds())
	}
	return w
}

// decodeCrash returns the crashes that a crash fact holds, one for each attempt.
func decodeCrash(f gossiper.Fact) ([]isolator.Crash, error) {
	var w peerpb.Crash
	if err := proto.Unmarshal(f.Value, &w); err != nil {
		return nil, fmt.Errorf("decode crash %q: %w", f.Subject, err)
	}
	n := len(w.GetAttempts())
	if w.GetEndpoint() == "" || n == 0 || len(w.GetFingerprints()) != n || len(w.GetRanMillis()) != n {
		return nil, fmt.Errorf("crash %q of endpoint %q is incomplete", f.Subject, w.GetEndpoint())
	}
	if first := isolator.AttemptID(w.GetAttempts()[0]); first.String() != f.Subject {
		return nil, fmt.Errorf("crash %q starts with attempt %q", f.Subject, first)
	}
	at := time.Unix(0, w.GetAtUnixNanos())
	crashes := make([]isolator.Crash, 0, n)
	for i, attempt := range w.GetAttempts() {
		crashes = append(crashes, isolator.Crash{
			Fingerprint: isolator.Fingerprint(w.GetFingerprints()[i]),
			Endpoint:    dotterelpulley.EndpointID(w.GetEndpoint()),
			Attempt:     isolator.AttemptID(attempt),
			Started:     at.Add(-time.Duration(w.GetRanMillis()[i]) * time.Millisecond),
			At:          at,
		})
	}
	return crashes, nil
}

// acceptable reports whether this host can process another host's fact; other facts are not passed on.
func acceptable(f gossiper.Fact) bool {
	if f.Subject == "" || len(f.Value) > maxFactValueBytes {
		return false
	}
	switch f.Kind {
	case gossiper.KindBadVersion:
		bad, err := decodeBadVersion(f.Value)
		return err == nil && bad.Move.String() == f.Subject
	case gossiper.KindCrash:
		_, err := decodeCrash(f)
		return err == nil
	case gossiper.KindLeavingEndpoint, gossiper.KindDrainingHost, gossiper.KindSuspectHost:
		return true
	}
	return false
}

// broadcastBadVersion broadcasts that a version is bad.
func (g *gossip) broadcastBadVersion(now time.Time, bad recorder.BadVersion) {
	f, err := badVersionFact(now, bad)
	if err != nil {
		g.entry.log.Error().Str("event", "bad-version-not-encoded").Err(err).Msg("")
		return
	}
	g.broadcast(now, f)
}

// broadcastCrash broadcasts the attempts that were active on a crashed endpoint.
func (g *gossip) broadcastCrash(now time.Time, crashes []isolator.Crash) {
	facts, err := crashFacts(crashes)
	if err != nil {
		g.entry.log.Error().Str("event", "crash-not-encoded").Err(err).Msg("")
		return
	}
	g.broadcast(now, facts...)
}

// applyCrash applies a crash fact from another host.
func (e *Entry) applyCrash(f gossiper.Fact) {
	crashes, err := decodeCrash(f)
	if err != nil {
		e.gossip.countRefused(1)
		return
	}
	for _, crash := range crashes {
		if e.isolation.addCrash(crash) {
			e.counters.Inc("crash-facts-heard")
		}
	}
}
