package rehearsal

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// relayEvery is how often a host asks a peer for records.
const relayEvery = 500 * time.Millisecond

// Spread returns how long a configuration takes from acceptance until it is in force on every host, when
// only readers of them can read the log and each asks one peer at random at intervals that are out of step.
func Spread(fleet, readers int, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, 23))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s store
	data, err := recorder.Encode(recorder.Envelope{ID: "a", Body: recorder.Delta{
		Organisations: []dotterelpulley.OrganisationSettings{{ID: "o", Weight: 1}},
	}})
	if err != nil {
		panic(fmt.Sprintf("encode a constant record: %v", err))
	}
	if err := s.append(appender.StreamConfiguration, data, now); err != nil {
		panic(fmt.Sprintf("append to a log that is up: %v", err))
	}
	all := make([]host, fleet)
	phase := make([]time.Duration, fleet)
	for i := range all {
		phase[i] = time.Duration(random.Int64N(int64(relayEvery/tick))) * tick
	}
	for at := time.Duration(0); ; at += tick {
		behind := 0
		for i := range all {
			if i < readers {
				all[i].read(&s)
			}
			if at%relayEvery == phase[i] {
				peer := (i + 1 + random.IntN(fleet-1)) % fleet
				all[i].learn(&all[peer])
			}
			if all[i].follower.Configuration().Revision == 0 {
				behind++
			}
		}
		if behind == 0 {
			return at
		}
	}
}
