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
	// badFor is how long a verdict is passed on; the hosts that know it keep it until its move ends.
	badFor = 24 * time.Hour
	// crashFor is how long a crash is passed on.
	crashFor = time.Hour
	// maxReason bounds the reason of a verdict as it is passed on, in bytes.
	maxReason = 256
	// maxFactValue bounds what a fact says, in bytes.
	maxFactValue = 1 << 10
	// attemptsPerFact keeps a crash fact below that.
	attemptsPerFact = 40
)

// badFact returns the verdict as a fact; there is one for each move.
func badFact(now time.Time, bad recorder.BadVersion) (gossiper.Fact, error) {
	bad.Reason = strings.ToValidUTF8(bad.Reason[:min(len(bad.Reason), maxReason)], "")
	move := bad.Move.String()
	data, err := recorder.Encode(recorder.Envelope{ID: recorder.RecordID(move), Body: bad})
	if err != nil {
		return gossiper.Fact{}, err
	}
	return gossiper.Fact{Kind: gossiper.KindBadVersion, Subject: move, Revision: 1, Value: data, Expires: now.Add(badFor)}, nil
}

func decodeBad(data []byte) (recorder.BadVersion, error) {
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

// crashFacts returns what ran on an endpoint that died as facts, each with as many attempts as it may hold.
func crashFacts(deaths []isolator.Crash) ([]gossiper.Fact, error) {
	var facts []gossiper.Fact
	for part := range slices.Chunk(deaths, attemptsPerFact) {
		value, err := proto.Marshal(crashToWire(part))
		if err != nil {
			return nil, fmt.Errorf("encode crash of endpoint %q: %w", part[0].Endpoint, err)
		}
		facts = append(facts, gossiper.Fact{
			Kind:     gossiper.KindCrash,
			Subject:  part[0].Attempt.String(),
			Revision: 1,
			Value:    value,
			Expires:  part[0].At.Add(crashFor),
		})
	}
	return facts, nil
}

func crashToWire(deaths []isolator.Crash) *peerpb.Crash {
	w := &peerpb.Crash{Endpoint: string(deaths[0].Endpoint), AtUnixNanos: deaths[0].At.UnixNano()}
	for _, d := range deaths {
		w.Fingerprints = append(w.Fingerprints, uint64(d.Fingerprint))
		w.Attempts = append(w.Attempts, uint64(d.Attempt))
		w.RanMillis = append(w.RanMillis, d.At.Sub(d.Started).Milliseconds())
	}
	return w
}

// deathsOf returns what a crash fact tells of.
func deathsOf(f gossiper.Fact) ([]isolator.Crash, error) {
	var w peerpb.Crash
	if err := proto.Unmarshal(f.Value, &w); err != nil {
		return nil, fmt.Errorf("decode crash %q: %w", f.Subject, err)
	}
	n := len(w.GetAttempts())
	if w.GetEndpoint() == "" || n == 0 || len(w.GetFingerprints()) != n || len(w.GetRanMillis()) != n {
		return nil, fmt.Errorf("crash %q of endpoint %q is not whole", f.Subject, w.GetEndpoint())
	}
	if first := isolator.AttemptID(w.GetAttempts()[0]); first.String() != f.Subject {
		return nil, fmt.Errorf("crash %q tells of attempt %q", f.Subject, first)
	}
	at := time.Unix(0, w.GetAtUnixNanos())
	deaths := make([]isolator.Crash, 0, n)
	for i, attempt := range w.GetAttempts() {
		deaths = append(deaths, isolator.Crash{
			Fingerprint: isolator.Fingerprint(w.GetFingerprints()[i]),
			Endpoint:    dotterelpulley.EndpointID(w.GetEndpoint()),
			Attempt:     isolator.AttemptID(attempt),
			Started:     at.Add(-time.Duration(w.GetRanMillis()[i]) * time.Millisecond),
			At:          at,
		})
	}
	return deaths, nil
}

// readable reports whether this host can act on another's fact; it passes no other on.
func readable(f gossiper.Fact) bool {
	if f.Subject == "" || len(f.Value) > maxFactValue {
		return false
	}
	switch f.Kind {
	case gossiper.KindBadVersion:
		bad, err := decodeBad(f.Value)
		return err == nil && bad.Move.String() == f.Subject
	case gossiper.KindCrash:
		_, err := deathsOf(f)
		return err == nil
	case gossiper.KindLeavingEndpoint, gossiper.KindDrainingHost, gossiper.KindSuspectHost:
		return true
	}
	return false
}

// spreadBad tells the others that a version is bad.
func (g *gossip) spreadBad(now time.Time, bad recorder.BadVersion) {
	f, err := badFact(now, bad)
	if err != nil {
		g.entry.log.Error().Str("event", "bad-version-not-encoded").Err(err).Msg("")
		return
	}
	g.spread(now, f)
}

// spreadDeaths tells the others what ran on an endpoint that died.
func (g *gossip) spreadDeaths(now time.Time, deaths []isolator.Crash) {
	facts, err := crashFacts(deaths)
	if err != nil {
		g.entry.log.Error().Str("event", "crash-not-encoded").Err(err).Msg("")
		return
	}
	g.spread(now, facts...)
}

// learnDeaths takes another host's crash fact.
func (e *Entry) learnDeaths(f gossiper.Fact) {
	deaths, err := deathsOf(f)
	if err != nil {
		e.gossip.refuse(1)
		return
	}
	for _, d := range deaths {
		if e.isolation.learn(d) {
			e.counters.Inc("crash-facts-heard")
		}
	}
}
