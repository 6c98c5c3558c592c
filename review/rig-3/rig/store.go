package rig

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Topics of the platform's store with a fixed meaning.
const (
	OperatorsTopic = "keyed.op"
	ServersTopic   = "keyed.servers"
)

type record struct {
	key   string
	value []byte
}

// Store is a stand-in for the platform's store with keyed topics of one partition.
type Store struct {
	server   *http.Server
	listener net.Listener
	mutex    sync.Mutex
	topics   map[string][]record
	changed  chan struct{}
}

// StartStore starts an empty store on the address.
func StartStore(ip string) (*Store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, topics: map[string][]record{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.serveAppend)
	mux.HandleFunc("GET /api/log-read", s.serveRead)
	mux.HandleFunc("GET /api/log-newest", s.serveNewest)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})}
	go s.server.Serve(listener)
	return s, nil
}

// Address returns the store's address.
func (s *Store) Address() string {
	return s.listener.Addr().String()
}

// Close stops the store.
func (s *Store) Close() {
	s.server.Close()
}

// Put appends a record; one without a value removes its key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key, slices.Clone(value)})
	close(s.changed)
	s.changed = make(chan struct{})
}

// PutJSON appends a record with the value as JSON.
func (s *Store) PutJSON(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(topic, key, data)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	if topic == OperatorsTopic || topic == ServersTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var added []record
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size > len(body) || size < 1 || int(body[0]) > size-1 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(body[0])
		added = append(added, record{string(body[1 : 1+n]), slices.Clone(body[1+n : size])})
		body = body[size:]
	}
	s.mutex.Lock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		s.mutex.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	s.topics[topic] = append(s.topics[topic], added...)
	close(s.changed)
	s.changed = make(chan struct{})
	s.mutex.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"offset": end, "end": end + len(added)})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mutex.Lock()
		records, changed := s.topics[topic], s.changed
		s.mutex.Unlock()
		if from < len(records) || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []record, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	w.Write(out)
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	s.mutex.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := map[string]int{}
	for i, one := range records {
		newest[one.key] = i
		if len(one.value) == 0 {
			delete(newest, one.key)
		}
	}
	s.mutex.Unlock()
	var keys []string
	for key := range newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageSize
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, map[string]any{"key": key, "value": records[newest[key]].value, "offset": newest[key]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
