package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/recorder"
)

// relayInterval is the time between two requests of a host for a peer's records.
const relayInterval = 500 * time.Millisecond

// PropagationTime returns the time from the acceptance of a configuration until every host uses it. Only the given
// number of readers can read the log; every host asks one random peer per interval, with a random phase.
func PropagationTime(hostCount, readers int, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, 23))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var l recordLog
	data, err := recorder.Encode(recorder.Envelope{ID: "a", Body: recorder.Delta{
		Organisations: []dotterelpulley.OrganisationSettings{{ID: "o", Weight: 1}},
	}})
	if err != nil {
		panic(fmt.Sprintf("encode a constant record: %v", err))
	}
	if err := l.append(appender.StreamConfiguration, data, now); err != nil {
		panic(fmt.Sprintf("append to an available log: %v", err))
	}
	allHosts := make([]host, hostCount)
	phase := make([]time.Duration, hostCount)
	for i := range allHosts {
		phase[i] = time.Duration(random.Int64N(int64(relayInterval/tickInterval))) * tickInterval
	}
	for elapsed := time.Duration(0); ; elapsed += tickInterval {
		behind := 0
		for i := range allHosts {
			if i < readers {
				allHosts[i].read(&l)
			}
			if elapsed%relayInterval == phase[i] {
				peer := (i + 1 + random.IntN(hostCount-1)) % hostCount
				allHosts[i].syncFrom(&allHosts[peer])
			}
			if allHosts[i].follower.Configuration().Revision == 0 {
				behind++
			}
		}
		if behind == 0 {
			return elapsed
		}
	}
}
