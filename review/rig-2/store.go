package main

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	operatorsTopic = "keyed.op"
	serversTopic   = "keyed.servers"
)

// entry is a record of a topic; one without a value drops its key.
type entry struct {
	key    string
	value  []byte
	offset int64
}

// store is the platform's store. Each machine has a view of its own, in which servers have the addresses of the machine's links to them.
type store struct {
	// seenValue returns the value of a record of the servers in a view.
	seenValue func(view int, id string, value []byte) []byte

	mutex   sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
	views   []*http.Server
}

func newStore() *store {
	return &store{topics: map[string][]entry{}, changed: make(chan struct{})}
}

// serveView listens for the machine with the number and returns the address.
func (s *store) serveView(view int) (string, error) {
	listener, err := net.Listen("tcp", nextAddress())
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(view, w, r) })}
	s.views = append(s.views, server)
	go serveUntilClosed(server, listener)
	return listener.Addr().String(), nil
}

// serveUntilClosed serves on the listener.
func serveUntilClosed(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		panic(err)
	}
}

func (s *store) close() {
	for _, view := range s.views {
		_ = view.Close() // Nothing is left to be written.
	}
}

// put adds a record.
func (s *store) put(topic, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.add(topic, key, value)
}

// add adds a record and returns its offset; the mutex must be held.
func (s *store) add(topic, key string, value []byte) int64 {
	offset := int64(len(s.topics[topic]))
	s.topics[topic] = append(s.topics[topic], entry{key, value, offset})
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) serve(view int, w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/api/log-newest":
		s.newest(view, w, topic)
	case "/api/log-read":
		s.read(view, w, r, topic)
	case "/api/log-append":
		s.append(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) valueIn(view int, topic string, e entry) []byte {
	if topic != serversTopic || len(e.value) == 0 {
		return e.value
	}
	return s.seenValue(view, e.key, e.value)
}

func (s *store) newest(view int, w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mutex.Lock()
	entries := s.topics[topic]
	s.mutex.Unlock()
	newest := map[string]entry{}
	for _, e := range entries {
		newest[e.key] = e
	}
	items := []item{}
	for _, e := range newest {
		if len(e.value) > 0 {
			items = append(items, item{e.key, s.valueIn(view, topic, e), e.offset})
		}
	}
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": len(entries)})
}

// read answers with the records from an offset on, as soon as there is one or the caller's time is over.
func (s *store) read(view int, w http.ResponseWriter, r *http.Request, topic string) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := time.Duration(0)
	if text := r.URL.Query().Get("wait_ms"); text != "" {
		if wait, err = time.ParseDuration(text + "ms"); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	timeout := time.After(wait)
	for {
		s.mutex.Lock()
		entries, changed := s.topics[topic], s.changed
		s.mutex.Unlock()
		if from > len(entries) {
			w.WriteHeader(http.StatusGone)
			return
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(len(entries)))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, e := range entries[from:] {
			value := s.valueIn(view, topic, e)
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(e.key)+len(value)))
			body = append(append(append(body, byte(len(e.key))), e.key...), value...)
		}
		if from < len(entries) {
			write(w, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			write(w, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// append adds one record, if the topic ends at the offset that the caller names.
func (s *store) append(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil || len(body) < 5 || len(body) < 5+int(body[4]):
		w.WriteHeader(http.StatusBadRequest)
		return
	case topic == operatorsTopic || topic == serversTopic:
		w.WriteHeader(http.StatusForbidden)
		return
	}
	key := string(body[5 : 5+int(body[4])])
	s.mutex.Lock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		s.mutex.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"end": end})
		return
	}
	offset := s.add(topic, key, body[5+len(key):])
	s.mutex.Unlock()
	writeJSON(w, map[string]any{"offset": offset, "end": offset + 1})
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	write(w, data)
}

// write writes an answer, whose caller may have left.
func write(w http.ResponseWriter, data []byte) {
	_, _ = w.Write(data)
}
