package entry

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/gossiper"
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
	maxFactValue    = 1 << 10
	fingerprintBase = 16
)

// wireDeath is the value of a crash fact.
type wireDeath struct {
	Fingerprint string    `json:"fingerprint"`
	Endpoint    string    `json:"endpoint"`
	Attempt     string    `json:"attempt"`
	Started     time.Time `json:"started"`
	At          time.Time `json:"at"`
}

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

// deathFact returns the death as a fact; there is one for each attempt.
func deathFact(d isolator.Death) (gossiper.Fact, error) {
	value, err := json.Marshal(wireDeath{
		Fingerprint: strconv.FormatUint(uint64(d.Fingerprint), fingerprintBase),
		Endpoint:    string(d.Endpoint),
		Attempt:     string(d.Attempt),
		Started:     d.Started,
		At:          d.At,
	})
	if err != nil {
		return gossiper.Fact{}, err
	}
	return gossiper.Fact{Kind: gossiper.KindCrash, Subject: string(d.Attempt), Revision: 1, Value: value, Expires: d.At.Add(crashFor)}, nil
}

func deathOf(f gossiper.Fact) (isolator.Death, error) {
	var w wireDeath
	if err := json.Unmarshal(f.Value, &w); err != nil {
		return isolator.Death{}, fmt.Errorf("decode crash %q: %w", f.Subject, err)
	}
	fingerprint, err := strconv.ParseUint(w.Fingerprint, fingerprintBase, 64)
	if err != nil {
		return isolator.Death{}, fmt.Errorf("decode fingerprint of crash %q: %w", f.Subject, err)
	}
	if w.Endpoint == "" || w.Attempt != f.Subject {
		return isolator.Death{}, fmt.Errorf("crash %q tells of attempt %q on endpoint %q", f.Subject, w.Attempt, w.Endpoint)
	}
	return isolator.Death{
		Fingerprint: isolator.Fingerprint(fingerprint),
		Endpoint:    dotterelpulley.EndpointID(w.Endpoint),
		Attempt:     isolator.AttemptID(w.Attempt),
		Started:     w.Started,
		At:          w.At,
	}, nil
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
		_, err := deathOf(f)
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
func (g *gossip) spreadDeaths(now time.Time, deaths []isolator.Death) {
	facts := make([]gossiper.Fact, 0, len(deaths))
	for _, d := range deaths {
		if f, err := deathFact(d); err == nil {
			facts = append(facts, f)
		}
	}
	g.spread(now, facts...)
}

// learnDeath takes another host's crash fact.
func (e *Entry) learnDeath(f gossiper.Fact) {
	d, err := deathOf(f)
	if err != nil {
		e.gossip.refuse(1)
		return
	}
	if e.isolation.learn(d) {
		e.counters.Inc("crash-facts-heard")
	}
}
