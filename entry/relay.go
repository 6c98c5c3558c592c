package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/internal/slurper"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

const (
	// relayInterval is the interval at which a peer is polled for records that this host has not read.
	relayInterval = 500 * time.Millisecond
	// relayLimit is the maximum number of records of each stream in one response.
	relayLimit = 200
	// relayTimeout is the timeout of one call to a peer.
	relayTimeout = time.Second
)

type wireRelayRecord struct {
	Offset   int64     `json:"offset"`
	Appended time.Time `json:"appended-at"`
	Data     []byte    `json:"data"`
}

type wireRelay struct {
	// Ready reports whether the responding host's heads come from a source with the newest records.
	Ready   bool                         `json:"ready"`
	Heads   map[string]int64             `json:"heads"`
	Records map[string][]wireRelayRecord `json:"records"`
	// Bad holds the bad-version records that hosts have broadcast.
	Bad [][]byte `json:"bad,omitempty"`
}

func relayedStreams() []appender.Stream {
	return []appender.Stream{appender.StreamConfiguration, appender.StreamMoves}
}

// recordsAfter returns the records after the given heads; a head is the offset of the last record of a stream that the
// peer has applied.
func (l *logState) recordsAfter(heads map[appender.Stream]appender.Offset) wireRelay {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := wireRelay{
		Ready:   l.follower.Ready(),
		Heads:   map[string]int64{},
		Records: map[string][]wireRelayRecord{},
		Bad:     l.badVersionRecords(),
	}
	for _, stream := range relayedStreams() {
		w.Heads[string(stream)] = int64(l.follower.NextOffset(stream) - 1)
		for _, r := range l.follower.RecordsAfter(stream, heads[stream], relayLimit) {
			w.Records[string(stream)] = append(w.Records[string(stream)], wireRelayRecord{
				Offset: int64(r.Offset), Appended: r.Appended, Data: r.Data,
			})
		}
	}
	return w
}

// applyRelay applies the records and heads that a peer returned.
func (l *logState) applyRelay(w wireRelay) []follower.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changes []follower.Change
	for _, stream := range relayedStreams() {
		for _, r := range w.Records[string(stream)] {
			changes = append(changes, l.follower.Apply(stream, appender.Record{
				Offset: appender.Offset(r.Offset), Appended: r.Appended, Data: r.Data,
			})...)
		}
		if w.Ready {
			l.follower.ObserveEnd(stream, appender.Offset(w.Heads[string(stream)]))
		}
	}
	return changes
}

// pollPeer asks a random peer for the records that this host has not read.
func (e *Entry) pollPeer() {
	peers := e.peerHosts()
	if len(peers) == 0 {
		return
	}
	w, err := e.fetchRelay(peers[rand.IntN(len(peers))].PeerAddress)
	if err != nil {
		e.counters.Inc("retry-relay")
		return
	}
	changes := e.logState.applyRelay(w)
	for _, data := range w.Bad {
		if err := e.acceptBadVersion(data); err != nil {
			e.counters.Inc("facts-refused")
		}
	}
	e.counters.Add("records-relayed", int64(len(changes)))
	e.handleChanges(changes)
}

// peerHosts returns the other entry hosts of the host list.
func (e *Entry) peerHosts() []lister.Host {
	var peers []lister.Host
	for _, h := range e.endpoints.entryHosts() {
		if h.ID != e.settings.Host {
			peers = append(peers, h)
		}
	}
	return peers
}

func (e *Entry) fetchRelay(address dotterelpulley.Address) (wireRelay, error) {
	query := url.Values{}
	for _, stream := range relayedStreams() {
		next, _ := e.logState.next(stream)
		query.Set(string(stream), strconv.FormatInt(int64(next-1), 10))
	}
	data, err := e.callPeer(http.MethodGet, address, "/v1/records?"+query.Encode(), nil)
	if err != nil {
		return wireRelay{}, fmt.Errorf("fetch records: %w", err)
	}
	var w wireRelay
	if err := json.Unmarshal(data, &w); err != nil {
		return wireRelay{}, fmt.Errorf("decode records of %q: %w", address, err)
	}
	return w, nil
}

// callPeer makes one short HTTP call to another entry host.
func (e *Entry) callPeer(method string, address dotterelpulley.Address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(e.ctx, relayTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, e.peerURL(address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("call %q of peer %q: %w", path, address, err)
	}
	resp, err := e.peerClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call %q of peer %q: %w", path, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("call %q of peer %q: status %d", path, address, resp.StatusCode)
	}
	return slurper.ReadAll(resp.Body, e.peerMessageLimit)
}

// handleRecords serves the records that a peer has not read.
func (e *Entry) handleRecords(w http.ResponseWriter, r *http.Request) {
	heads := map[appender.Stream]appender.Offset{}
	for _, stream := range relayedStreams() {
		head, err := strconv.ParseInt(r.URL.Query().Get(string(stream)), 10, 64)
		if err != nil {
			http.Error(w, fmt.Sprintf("stream %q: %v", stream, err), http.StatusBadRequest)
			return
		}
		heads[stream] = appender.Offset(head)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.logState.recordsAfter(heads)); err != nil {
		e.counters.Inc("relay-cut")
	}
}
