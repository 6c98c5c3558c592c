package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
	"github.com/dotterelpulley/dotterelpulley/follower"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

const (
	// relayEvery is how often one peer is asked for records that this host has not read.
	relayEvery = 500 * time.Millisecond
	// relayLimit bounds the records of each stream in one answer.
	relayLimit = 200
	// relayTimeout bounds one question to a peer.
	relayTimeout = time.Second
)

type wireRelayed struct {
	Offset   int64     `json:"offset"`
	Appended time.Time `json:"appended-at"`
	Data     []byte    `json:"data"`
}

type wireRelay struct {
	// Ready says that the host's heads are of a source of the newest records.
	Ready   bool                     `json:"ready"`
	Heads   map[string]int64         `json:"heads"`
	Records map[string][]wireRelayed `json:"records"`
	// Bad are the bad-version records that hosts have spread.
	Bad [][]byte `json:"bad,omitempty"`
}

func relayedStreams() []appender.Stream {
	return []appender.Stream{appender.StreamConfiguration, appender.StreamMoves}
}

// relay returns what a peer lacks that has folded each stream up to its head.
func (f *followed) relay(heads map[appender.Stream]appender.Offset) wireRelay {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := wireRelay{
		Ready:   f.follower.Ready(),
		Heads:   map[string]int64{},
		Records: map[string][]wireRelayed{},
		Bad:     f.marked(),
	}
	for _, stream := range relayedStreams() {
		w.Heads[string(stream)] = int64(f.follower.Next(stream) - 1)
		for _, r := range f.follower.Since(stream, heads[stream], relayLimit) {
			w.Records[string(stream)] = append(w.Records[string(stream)], wireRelayed{
				Offset: int64(r.Offset), Appended: r.Appended, Data: r.Data,
			})
		}
	}
	return w
}

// relayed takes a peer's answer.
func (f *followed) relayed(w wireRelay) []follower.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changes []follower.Change
	for _, stream := range relayedStreams() {
		for _, r := range w.Records[string(stream)] {
			changes = append(changes, f.follower.Apply(stream, appender.Record{
				Offset: appender.Offset(r.Offset), Appended: r.Appended, Data: r.Data,
			})...)
		}
		if w.Ready {
			f.follower.Heard(stream, appender.Offset(w.Heads[string(stream)]))
		}
	}
	return changes
}

// askPeer asks one peer at random for records that this host has not read.
func (e *Entry) askPeer() {
	peers := e.peerHosts()
	if len(peers) == 0 {
		return
	}
	w, err := e.fetchRelay(peers[rand.IntN(len(peers))].PeerAddress)
	if err != nil {
		e.counters.Inc("retry-relay")
		return
	}
	changes := e.followed.relayed(w)
	for _, data := range w.Bad {
		if err := e.takeBad(data); err != nil {
			e.counters.Inc("facts-refused")
		}
	}
	e.counters.Add("records-relayed", int64(len(changes)))
	e.inForce(changes)
}

// peerHosts returns the other entry hosts of the host list.
func (e *Entry) peerHosts() []lister.Host {
	var peers []lister.Host
	for _, h := range e.endpoints.entries() {
		if h.ID != e.settings.Host {
			peers = append(peers, h)
		}
	}
	return peers
}

func (e *Entry) fetchRelay(address dotterelpulley.Address) (wireRelay, error) {
	query := url.Values{}
	for _, stream := range relayedStreams() {
		next, _ := e.followed.next(stream)
		query.Set(string(stream), strconv.FormatInt(int64(next-1), 10))
	}
	data, err := e.callPeer(http.MethodGet, address, "/v1/records?"+query.Encode(), nil)
	if err != nil {
		return wireRelay{}, fmt.Errorf("ask for records: %w", err)
	}
	var w wireRelay
	if err := json.Unmarshal(data, &w); err != nil {
		return wireRelay{}, fmt.Errorf("decode records of %q: %w", address, err)
	}
	return w, nil
}

// callPeer makes one short call to another entry host.
func (e *Entry) callPeer(method string, address dotterelpulley.Address, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(e.ctx, relayTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, e.peerURL(address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("call %q of peer %q: %w", path, address, err)
	}
	resp, err := e.peerHTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call %q of peer %q: %w", path, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("call %q of peer %q: status %d", path, address, resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

// handleRecords answers a peer's question for records.
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
	if err := json.NewEncoder(w).Encode(e.followed.relay(heads)); err != nil {
		e.counters.Inc("relay-cut")
	}
}
