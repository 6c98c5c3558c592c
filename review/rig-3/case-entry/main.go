// Command case-entry takes a server away whose entry is removed while another writer writes an incomplete entry about it.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"rig3/rig"
)

const (
	hostCount   = 2
	serverCount = 3
	rate        = 30
	work        = 300 * time.Millisecond
	drain       = 2 * time.Second
	// lingers is how long the leaving server goes on after its entry was removed: the drain time and a little longer.
	lingers = 5 * time.Second
	// writesAfter is when the other writer writes its entry, after all hosts have seen that the server has left.
	writesAfter = 2 * time.Second
	hostName    = "board.example"
	key         = "key-1"
)

func main() {
	rig.Main(run)
}

func run(r *rig.Record) (int, error) {
	store, err := rig.StartStore("127.0.0.1")
	if err != nil {
		return 0, err
	}
	defer store.Close()
	store.PutJSON(rig.OperatorsTopic, "config", map[string]any{
		"version": 1, "routes": []map[string]any{{
			"name": "flip", "host": hostName, "path_prefix": "/flip/", "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 1, "service": "board-api", "max_attempts": 1,
		}},
		"services": []map[string]any{{"name": "board-api", "health_path": "/health", "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": []string{key}}},
	})
	j := &judge{Record: r}
	var servers []*rig.Server
	for i := range serverCount {
		s := &rig.Server{ID: fmt.Sprintf("i-%d", i), Service: "board-api", Version: "v1", Zone: "kl-a", Slots: 6}
		s.Handler = func(w http.ResponseWriter, request *http.Request) { j.answer(s, w, request) }
		if err := rig.StartServer(store, s, "127.0.0.1:0"); err != nil {
			return 0, err
		}
		defer s.Crash()
		servers = append(servers, s)
	}
	fleet, err := rig.NewFleet(store)
	if err != nil {
		return 0, err
	}
	defer fleet.Close()
	for range hostCount {
		if _, err := fleet.Start("kl-a"); err != nil {
			return 0, err
		}
	}
	if err := fleet.AwaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait sync.WaitGroup
	wait.Go(func() { j.load(ctx, fleet) })
	time.Sleep(3 * time.Second)
	leaving := servers[0]
	j.leaving.Store(&departure{id: leaving.ID, at: time.Now()})
	leaving.Leave()
	r.Say("the entry of %s is removed", leaving.ID)
	removed := time.Now()
	if rig.Trouble() {
		if err := writeEntry(store, leaving); err != nil {
			return 0, err
		}
		r.Say("another writer has written an entry under the id of %s", leaving.ID)
	}
	time.Sleep(time.Until(removed.Add(lingers)))
	r.Say("%s exits", leaving.ID)
	leaving.Crash()
	time.Sleep(2 * time.Second)
	stop()
	wait.Wait()
	return j.verdict(), nil
}

// writeEntry writes the other writer's entry.
func writeEntry(store *rig.Store, about *rig.Server) error {
	if len(os.Args) < 3 {
		return errors.New("the second argument is missing")
	}
	switch os.Args[2] {
	case "incomplete":
		time.Sleep(writesAfter)
		// The entry has no zone, version, slots and cold_left_ms.
		store.PutJSON(rig.ServersTopic, about.ID, map[string]any{"service": about.Service, "address": about.Address(), "state": "ready", "seq": 1})
	case "unreadable":
		store.Put(rig.ServersTopic, about.ID, []byte("\xff\xfe not an entry"))
	default:
		return fmt.Errorf("unknown entry %q", os.Args[2])
	}
	return nil
}

type departure struct {
	id string
	at time.Time
}

type judge struct {
	*rig.Record
	leaving  atomic.Pointer[departure]
	mutex    sync.Mutex
	late     int
	answered int
	failed   map[string]int
}

func (j *judge) load(ctx context.Context, fleet *rig.Fleet) {
	clients := rig.NewClients()
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h := fleet.Hosts[n%len(fleet.Hosts)]
		wait.Go(func() {
			call := rig.Call{ID: rig.NextID(), Method: http.MethodPost, Host: hostName, Path: "/flip/x", Key: key, Body: "flip", Limit: 3 * time.Second}
			a := clients.Do(context.Background(), h.Front, call)
			j.Note("%s at %s -> %d signed=%t err=%v", call.ID, h.Name, a.Status, a.Signed, a.Err)
			j.mutex.Lock()
			defer j.mutex.Unlock()
			if a.Err == nil && a.Status == http.StatusOK {
				j.answered++
				return
			}
			if j.failed == nil {
				j.failed = map[string]int{}
			}
			j.failed[fmt.Sprint(a.Status)]++
		})
	}
}

func (j *judge) answer(s *rig.Server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Dotterelpulley-Attempt-Id")
	note := ""
	// Hosts see within a second that the entry is gone, which is when the drain time begins.
	if d := j.leaving.Load(); d != nil && d.id == s.ID && time.Since(d.at) > drain+time.Second {
		note = " although it is gone"
		j.mutex.Lock()
		j.late++
		j.mutex.Unlock()
	}
	j.Note("%s runs %s%s", s.ID, id, note)
	time.Sleep(work)
	rig.Sign(w)
	fmt.Fprint(w, "ok")
}

func (j *judge) verdict() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.Say("%d requests reached the leaving server too late; %d answered, others by status: %v", j.late, j.answered, j.failed)
	if j.late > 0 {
		return rig.Broken
	}
	return rig.Held
}
