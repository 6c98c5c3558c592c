package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/peerpb"
	"github.com/dotterelpulley/dotterelpulley/isolator"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

const (
	factCrash     = "crash"
	suspectPoll   = 20 * time.Millisecond
	suspectLimit  = 2 * time.Second
	spreadTries   = 3
	spreadAgain   = 500 * time.Millisecond
	fingerprint16 = 16
)

// isolation shares the isolator between this host's requests.
type isolation struct {
	mu   sync.Mutex
	core isolator.Isolator
}

func (i *isolation) judge(f isolator.Fingerprint) (v isolator.Verdict, alone bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	v, avoid := i.core.Judge(time.Now(), f)
	return v, len(avoid) == 0 && !i.core.Running(f)
}

func (i *isolation) started(f isolator.Fingerprint, endpoint dotterelpulley.EndpointID, id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Started(time.Now(), f, endpoint, isolator.AttemptID(id))
}

func (i *isolation) ended(endpoint dotterelpulley.EndpointID, id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Ended(endpoint, isolator.AttemptID(id))
}

func (i *isolation) whole(f isolator.Fingerprint) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Whole(time.Now(), f)
}

func (i *isolation) died(endpoint dotterelpulley.EndpointID) []isolator.Death {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.core.Died(time.Now(), endpoint)
}

func (i *isolation) learn(d isolator.Death) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.core.Learn(d)
}

func (i *isolation) prune() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.core.Prune(time.Now())
}

// admit refuses a request that crashes endpoints; a suspect waits until no other suspect runs here.
func (e *Entry) admit(r *run) *dotterelpulley.Refusal {
	f := isolator.FingerprintOf(r.request)
	giveUp := time.Now().Add(suspectLimit)
	for {
		v, alone := e.isolation.judge(f)
		switch {
		case v == isolator.Isolated:
			return dotterelpulley.Refuse(dotterelpulley.ErrorIsolated, 0, "endpoints have crashed while they ran this request")
		case v == isolator.Free || alone || time.Now().After(giveUp):
			return nil
		}
		select {
		case <-time.After(suspectPoll):
		case <-r.ctx.Done():
			return dotterelpulley.Refuse(dotterelpulley.ErrorDeadlinePassed, 0, "the request waited until its deadline")
		}
	}
}

// lost notes that an endpoint has died and tells the other entry hosts what ran on it.
func (e *Entry) lost(endpoint known) {
	deaths := e.isolation.died(endpoint.ID)
	if len(deaths) == 0 {
		return
	}
	e.counters.Inc("endpoints-lost")
	e.log.Warn().Str("event", "endpoint-lost").Str("endpoint", string(endpoint.ID)).Int("suspects", len(deaths)).Msg("")
	facts := make([]*peerpb.Fact, 0, len(deaths))
	for _, d := range deaths {
		if f, err := deathToWire(d); err == nil {
			facts = append(facts, f)
		}
	}
	for _, h := range e.endpoints.entries() {
		if h.ID != e.settings.Host {
			e.wait.Go(func() { e.spreadDeaths(h, facts) })
		}
	}
}

func (e *Entry) spreadDeaths(h lister.Host, facts []*peerpb.Fact) {
	for range spreadTries {
		ctx, cancel := context.WithTimeout(e.ctx, askTimeout)
		_, err := e.peer(h.PeerAddress).Exchange(ctx, &peerpb.ExchangeRequest{Facts: facts})
		cancel()
		if err == nil {
			return
		}
		e.counters.Inc("retry-crash-fact")
		e.pause(spreadAgain)
	}
}

type wireDeath struct {
	Endpoint string    `json:"endpoint"`
	Attempt  string    `json:"attempt"`
	Started  time.Time `json:"started"`
	At       time.Time `json:"at"`
}

func deathToWire(d isolator.Death) (*peerpb.Fact, error) {
	value, err := json.Marshal(wireDeath{Endpoint: string(d.Endpoint), Attempt: string(d.Attempt), Started: d.Started, At: d.At})
	if err != nil {
		return nil, err
	}
	return &peerpb.Fact{Kind: factCrash, Subject: strconv.FormatUint(uint64(d.Fingerprint), fingerprint16), Value: value}, nil
}

// learnFacts takes other hosts' crash facts.
func (e *Entry) learnFacts(facts []*peerpb.Fact) {
	for _, f := range facts {
		if f.GetKind() != factCrash {
			continue
		}
		fingerprint, err := strconv.ParseUint(f.GetSubject(), fingerprint16, 64)
		var w wireDeath
		if err != nil || json.Unmarshal(f.GetValue(), &w) != nil {
			e.counters.Inc("facts-refused")
			continue
		}
		if e.isolation.learn(isolator.Death{
			Fingerprint: isolator.Fingerprint(fingerprint),
			Endpoint:    dotterelpulley.EndpointID(w.Endpoint),
			Attempt:     isolator.AttemptID(w.Attempt),
			Started:     w.Started,
			At:          w.At,
		}) {
			e.counters.Inc("crash-facts-heard")
		}
	}
}

// refuses reports whether the address refuses connections, as a dead process's does.
func refuses(address dotterelpulley.Address, timeout time.Duration) bool {
	conn, err := net.DialTimeout("tcp", string(address), timeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
