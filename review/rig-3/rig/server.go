package rig

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in for a server of a service, which registers itself in the store.
type Server struct {
	ID, Service, Version, Zone string
	Slots                      int
	// Handler answers requests. It runs once the request is known to be for this server.
	Handler http.HandlerFunc

	store    *Store
	address  string
	mutex    sync.Mutex
	server   *http.Server
	born     int64
	seq      int
	state    string
	stopBeat chan struct{}
}

// StartServer starts a server on the address; a port of 0 picks one.
func StartServer(store *Store, s *Server, address string) error {
	s.store = store
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.born, s.seq, s.state = time.Now().UnixMilli(), 0, "ready"
	s.stopBeat = make(chan struct{})
	server, stop := s.server, s.stopBeat
	s.mutex.Unlock()
	go server.Serve(listener)
	s.Register()
	go s.beat(stop)
	return nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Dotterelpulley-Attempt-Id", r.Header.Get("Dotterelpulley-Attempt-Id"))
	if wanted := r.Header.Get("Dotterelpulley-Expect-Instance"); wanted != "" && wanted != s.ID {
		w.Header().Set("Dotterelpulley-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.Handler(w, r)
}

// beat renews the registration until the server stops.
func (s *Server) beat(stop chan struct{}) {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			s.Register()
		}
	}
}

// Register writes the server's registration.
func (s *Server) Register() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopBeat == nil {
		return
	}
	s.seq++
	s.store.PutJSON(ServersTopic, s.ID, map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": s.Version, "slots": s.Slots, "state": s.state,
		"cold_left_ms": 0, "seq": s.seq, "born": s.born,
	})
}

// Address returns the server's address.
func (s *Server) Address() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Leave removes the server's registration, which isn't renewed any more; the server goes on until it is crashed.
func (s *Server) Leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.stopBeat)
	s.stopBeat = nil
	s.store.Put(ServersTopic, s.ID, nil)
}

// Crash ends the server at once; it writes nothing more.
func (s *Server) Crash() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.server != nil {
		if s.stopBeat != nil {
			close(s.stopBeat)
		}
		s.server.Close()
		s.server = nil
	}
}

// Restart starts a crashed server again at its address.
func (s *Server) Restart() error {
	return StartServer(s.store, s, s.Address())
}

// Sign marks the answer as the server's.
func Sign(w http.ResponseWriter) {
	w.Header().Set("Dotterelpulley-Response-Stamp", "stamp")
}

// Reject answers that the server has no room.
func Reject(w http.ResponseWriter) {
	w.Header().Set("Dotterelpulley-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprint(w, "full")
}
