// Command case-crash sends prompts with a part that crashes each server that begins to write an answer on it. The second argument says
// what is special: "begun" servers have written two events when they crash, "parts" are many before the one that crashes servers, and
// with "plain" neither is so.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"rig3/rig"
)

const (
	hostCount   = 3
	serverCount = 8
	length      = 30 * time.Second
	// badEvery and soundEvery are the times between two requests with the part that crashes servers, and without it.
	badEvery   = 700 * time.Millisecond
	soundEvery = 40 * time.Millisecond
	// downTime is how long a crashed server is away.
	downTime  = 2 * time.Second
	stability = 3 * time.Second
	// decidingCrash is the crash from which the rule counts, allowed how many requests may reach servers later than the stability window
	// after it.
	decidingCrash = 5
	allowed       = 3
	events        = 20
	pause         = 25 * time.Millisecond
	badPart       = "bad0bad0"
	hostName      = "plans.example"
	key           = "key-1"
)

// variant is what is special about the requests that crash servers.
type variant struct {
	// begun is how many events a server has written when the part crashes it.
	begun int
	// before is how many parts come before that part.
	before int
}

var variants = map[string]variant{
	"plain": {begun: 1, before: 1},
	"begun": {begun: 2, before: 1},
	"parts": {begun: 1, before: 18},
}

func main() {
	rig.Main(run)
}

func run(r *rig.Record) (int, error) {
	if len(os.Args) < 3 {
		return 0, errors.New("the second argument is missing")
	}
	v, ok := variants[os.Args[2]]
	if !ok {
		return 0, fmt.Errorf("unknown variant %q", os.Args[2])
	}
	store, err := rig.StartStore("127.0.0.1")
	if err != nil {
		return 0, err
	}
	defer store.Close()
	store.PutJSON(rig.OperatorsTopic, "config", map[string]any{
		"version": 1, "routes": []map[string]any{{
			"name": "plan", "host": hostName, "path_prefix": "/plan/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 1000,
			"gap_target_ms": 250, "priority": 0, "service": "lm-pool", "max_attempts": 1, "resumable": false, "sticky": true,
		}},
		"services": []map[string]any{{"name": "lm-pool", "health_path": "/health", "max_conns": 310}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": []string{key}}},
	})
	j := &judge{Record: r, variant: v}
	for i := range serverCount {
		s := &rig.Server{ID: fmt.Sprintf("i-%d", i), Service: "lm-pool", Version: "v1", Zone: "kl-a", Slots: 8}
		s.Handler = func(w http.ResponseWriter, request *http.Request) { j.answer(s, w, request) }
		if err := rig.StartServer(store, s, "127.0.0.1:0"); err != nil {
			return 0, err
		}
		defer s.Crash()
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
	clients := rig.NewClients()
	var wait sync.WaitGroup
	started := time.Now()
	send := func(n int, bad bool) {
		parts := v.promptParts(n, bad)
		call := rig.Call{
			ID: rig.NextID(), Method: http.MethodPost, Host: hostName, Path: "/plan/x", Key: key, Body: fmt.Sprintf("prompt %d", n), Limit: 15 * time.Second,
			Header: map[string]string{"Dotterelpulley-Model": "m", "Dotterelpulley-Token-Counts": "1200,100", "Dotterelpulley-Prompt-Prefix": parts},
		}
		h := fleet.Hosts[n%len(fleet.Hosts)]
		a := clients.Do(context.Background(), h.Front, call)
		whole := a.Err == nil && a.Status == http.StatusOK && strings.Count(a.Body, "data:") == events
		r.Note("%s at %s bad=%t -> %d whole=%t err=%v", call.ID, h.Name, bad, a.Status, whole, a.Err)
		if !bad {
			j.sound(whole, a.Status)
		}
	}
	bads, sounds := time.NewTicker(badEvery), time.NewTicker(soundEvery)
	defer bads.Stop()
	defer sounds.Stop()
	for n := 0; time.Since(started) < length; n++ {
		select {
		case <-bads.C:
			if rig.Trouble() {
				wait.Go(func() { send(n, true) })
			}
		case <-sounds.C:
			wait.Go(func() { send(n, false) })
		}
	}
	wait.Wait()
	return j.verdict(), nil
}

// promptParts returns the parts of a prompt: those that all share, perhaps the one that crashes servers, and its own.
func (v variant) promptParts(n int, bad bool) string {
	var parts []string
	for i := range v.before {
		parts = append(parts, fmt.Sprintf("5c1e%04x:60", i))
	}
	if bad {
		parts = append(parts, badPart+":60")
	}
	return strings.Join(append(parts, fmt.Sprintf("%08x:40", n+1000)), ",")
}

// judge counts what servers and clients see.
type judge struct {
	*rig.Record
	variant
	mutex   sync.Mutex
	crashes []time.Time
	// arrivals are those of requests with the part that crashes servers.
	arrivals []time.Time
	whole    int
	broken   int
	refused  int
}

func (j *judge) answer(s *rig.Server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Dotterelpulley-Attempt-Id")
	bad := strings.Contains(r.Header.Get("Dotterelpulley-Prompt-Prefix"), badPart)
	j.Note("%s runs %s bad=%t", s.ID, id, bad)
	if bad {
		j.mutex.Lock()
		j.arrivals = append(j.arrivals, time.Now())
		j.mutex.Unlock()
	}
	rig.Sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	time.Sleep(pause)
	for n := 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece-%d\n\n", n, n); err != nil {
			return
		}
		if bad && n < j.begun {
			// The first events come together.
			continue
		}
		if flush.Flush() != nil {
			return
		}
		if bad {
			time.Sleep(pause)
			j.crash(s, id)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(pause)
	}
}

func (j *judge) crash(s *rig.Server, id string) {
	j.mutex.Lock()
	j.crashes = append(j.crashes, time.Now())
	n := len(j.crashes)
	j.mutex.Unlock()
	j.Note("%s is crashed by %s, crash %d", s.ID, id, n)
	s.Crash()
	go func() {
		time.Sleep(downTime)
		if err := s.Restart(); err != nil {
			j.Say("%s doesn't start again: %v", s.ID, err)
		}
	}()
}

func (j *judge) sound(whole bool, status int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	switch {
	case whole:
		j.whole++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		j.refused++
	default:
		j.broken++
	}
}

func (j *judge) verdict() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	late := 0
	if len(j.crashes) >= decidingCrash {
		from := j.crashes[decidingCrash-1].Add(stability)
		for _, at := range j.arrivals {
			if at.After(from) {
				late++
			}
		}
	}
	j.Say("%d crashes; %d requests with the part reached servers, %d of them later than %v after crash %d, %d allowed", len(j.crashes), len(j.arrivals), late, stability, decidingCrash, allowed)
	j.Say("sound requests: %d whole, %d refused, %d broken off or failed", j.whole, j.refused, j.broken)
	if late > allowed {
		return rig.Broken
	}
	return rig.Held
}
