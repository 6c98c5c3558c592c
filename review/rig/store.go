package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	// storeLatency is the time of an answer on the sheets of the installations.
	storeLatency = 4 * time.Millisecond
	newestPage   = 500
)

type record struct {
	key    string
	value  []byte
	offset int64
}

// store is a stand-in of the platform's metadata store in the form of a log.
type store struct {
	// listeners holds one for each machine, so that the store can tell them apart and turn some of them away.
	listeners []net.Listener
	mutex     sync.Mutex
	topics    map[string][]record
	changed   chan struct{}
	era       int
	// away makes the store close each connection without an answer, shut only those of the machines with true.
	away bool
	shut map[int]bool
	// onRead, if set, is told of the records that a machine has read, before it gets them.
	onRead func(machine int, topic string, records []record)
}

type machineKey struct{}

func startStore() *store {
	return &store{topics: map[string][]record{}, changed: make(chan struct{}), shut: map[int]bool{}, era: 1}
}

// listen returns the address of the store for one machine.
func (s *store) listen(machine int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.mutex.Lock()
	s.listeners = append(s.listeners, listener)
	s.mutex.Unlock()
	server := &http.Server{Handler: s, BaseContext: func(net.Listener) context.Context {
		return context.WithValue(context.Background(), machineKey{}, machine)
	}}
	go server.Serve(listener)
	return listener.Addr().String(), nil
}

func machineOf(r *http.Request) int {
	machine, _ := r.Context().Value(machineKey{}).(int)
	return machine
}

// put appends a record as the operator or a server does; the call returns with the store's confirmation.
func (s *store) put(topic, key string, value []byte) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.appendLocked(topic, key, value)
	return time.Now()
}

// remove drops a key, as for a server that is gone.
func (s *store) remove(topic, key string) { s.put(topic, key, nil) }

func (s *store) appendLocked(topic, key string, value []byte) int64 {
	offset := int64(len(s.topics[topic]))
	s.topics[topic] = append(s.topics[topic], record{key, value, offset})
	s.notifyLocked()
	return offset
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// backup returns a copy of all topics.
func (s *store) backup() map[string][]record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	copied := map[string][]record{}
	for name, records := range s.topics {
		copied[name] = slices.Clone(records)
	}
	return copied
}

// setAway makes the store unreachable or reachable.
func (s *store) setAway(away bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = away
	s.notifyLocked()
}

// restore brings the store back from the copy, in the next era.
func (s *store) restore(copied map[string][]record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.topics, s.away = copied, false
	s.era++
	s.notifyLocked()
}

func (s *store) newestValue(topic, key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, r := range slices.Backward(s.topics[topic]) {
		if r.key == key {
			return r.value
		}
	}
	return nil
}

func (s *store) isAway() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.away
}

func (s *store) isAwayFor(machine int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.away || s.shut[machine]
}

// setShut turns one machine away or serves it again.
func (s *store) setShut(machine int, shut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.shut[machine] = shut
	s.notifyLocked()
}

func (s *store) noteRead(machine int, topic string, records []record) {
	s.mutex.Lock()
	tell := s.onRead
	s.mutex.Unlock()
	if tell != nil {
		tell(machine, topic, records)
	}
}

// hangUp closes the connection of a call without an answer.
func hangUp() { panic(http.ErrAbortHandler) }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isAwayFor(machineOf(r)) {
		hangUp()
	}
	time.Sleep(storeLatency)
	query := r.URL.Query()
	topic := query.Get("topic")
	switch r.URL.Path {
	case "/api/log-newest":
		s.serveNewest(w, r, topic, query.Get("after"))
	case "/api/log-read":
		from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.serveRead(w, r, topic, from, time.Duration(wait)*time.Millisecond)
	case "/api/log-append":
		s.serveAppend(w, r, topic, query.Get("at"))
	default:
		http.NotFound(w, r)
	}
}

func (s *store) answer(w http.ResponseWriter, r *http.Request, status int, contentType string, body []byte) {
	s.mutex.Lock()
	away, era := s.away || s.shut[machineOf(r)], s.era
	s.mutex.Unlock()
	if away {
		hangUp()
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	w.Write(body)
}

func (s *store) answerJSON(w http.ResponseWriter, r *http.Request, status int, value any) {
	body, _ := json.Marshal(value)
	s.answer(w, r, status, "application/json", body)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mutex.Lock()
	newest := map[string]record{}
	for _, r := range s.topics[topic] {
		newest[r.key] = r
	}
	end := len(s.topics[topic])
	s.mutex.Unlock()
	items, seen := []item{}, []record{}
	for _, found := range newest {
		if len(found.value) > 0 && found.key > after {
			items, seen = append(items, item{found.key, found.value, found.offset}), append(seen, found)
		}
	}
	s.noteRead(machineOf(r), topic, seen)
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > newestPage
	items = items[:min(len(items), newestPage)]
	s.answerJSON(w, r, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string, from int64, wait time.Duration) {
	limit := time.After(wait)
	for {
		s.mutex.Lock()
		records, changed, away := s.topics[topic], s.changed, s.away || s.shut[machineOf(r)]
		s.mutex.Unlock()
		if away {
			hangUp()
		}
		if from < 0 || from > int64(len(records)) {
			s.answerJSON(w, r, http.StatusGone, map[string]any{"first": 0})
			return
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, record := range records[from:] {
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
			body = append(append(append(body, byte(len(record.key))), record.key...), record.value...)
		}
		s.noteRead(machineOf(r), topic, records[from:])
		if int(from) < len(records) {
			s.answer(w, r, http.StatusOK, "application/octet-stream", body)
			return
		}
		select {
		case <-changed:
		case <-limit:
			s.answer(w, r, http.StatusOK, "application/octet-stream", body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic, at string) {
	if topic == topicOperator || topic == topicServers {
		s.answerJSON(w, r, http.StatusForbidden, map[string]any{})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	type pair struct {
		key   string
		value []byte
	}
	var pairs []pair
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size || size < 1+int(body[4]) {
			s.answerJSON(w, r, http.StatusBadRequest, map[string]any{})
			return
		}
		content := body[4 : 4+size]
		keyBytes := int(content[0])
		pairs = append(pairs, pair{string(content[1 : 1+keyBytes]), slices.Clone(content[1+keyBytes:])})
		body = body[4+size:]
	}
	s.mutex.Lock()
	end := int64(len(s.topics[topic]))
	if at != "" && at != strconv.FormatInt(end, 10) {
		s.mutex.Unlock()
		s.answerJSON(w, r, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	for _, p := range pairs {
		s.appendLocked(topic, p.key, p.value)
	}
	s.mutex.Unlock()
	s.answerJSON(w, r, http.StatusOK, map[string]any{"offset": end, "end": end + int64(len(pairs))})
}
