// Command case-memory changes the configuration to one with many new routes, several times, and calls each route once on each host.
package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"rig3/rig"
)

const (
	hostCount = 2
	// generations is how often the routes are replaced, each time by routesEach new ones.
	generations = 9
	// background is the number of callers of each host that go on calling an old route.
	background = 8
	// memoryMB is the memory of the smallest machines.
	memoryMB   = 112
	routesEach = 1500
	callers    = 32
	work       = 50 * time.Millisecond
	// allowed is how many requests a machine may pass on from kept channels and leave without an answer.
	allowed  = 3
	hostName = "board.example"
	key      = "key-1"
)

func route(name string) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path_prefix": "/" + name + "/", "kind": "idempotent", "timeout_ms": 1500,
		"target_latency_ms": 300, "priority": 1, "service": "board-api", "max_attempts": 2,
	}
}

func configuration(version int, names []string) map[string]any {
	routes := []map[string]any{route("base")}
	for _, name := range names {
		routes = append(routes, route(name))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "board-api", "health_path": "/health", "max_conns": 410}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": []string{key}}},
	}
}

func main() {
	rig.Main(run)
}

func run(r *rig.Record) (int, error) {
	store, err := rig.StartStore("127.0.0.1")
	if err != nil {
		return 0, err
	}
	defer store.Close()
	store.PutJSON(rig.OperatorsTopic, "config", configuration(1, nil))
	c := &crowd{Record: r, clients: rig.NewClients(), passedOn: map[string]bool{}, lost: map[string]int{}}
	for i := range 4 {
		s := &rig.Server{ID: fmt.Sprintf("i-%d", i), Service: "board-api", Version: "v1", Zone: "kl-a", Slots: 6}
		s.Handler = func(w http.ResponseWriter, request *http.Request) {
			c.passOn(s.ID, request.Header.Get("Dotterelpulley-Attempt-Id"))
			time.Sleep(work)
			rig.Sign(w)
			fmt.Fprint(w, "ok")
		}
		if err := rig.StartServer(store, s, "127.0.0.1:0"); err != nil {
			return 0, err
		}
		defer s.Crash()
	}
	fleet, err := rig.NewFleet(store)
	if err != nil {
		return 0, err
	}
	fleet.MemoryMB = memoryMB
	defer fleet.Close()
	for range hostCount {
		if _, err := fleet.Start("kl-a"); err != nil {
			return 0, err
		}
	}
	if err := fleet.AwaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	w := watch(r, fleet)
	defer w.stop()
	c.fleet = fleet
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer stop()
	for _, h := range fleet.Hosts {
		for range background {
			wait.Go(func() {
				for ctx.Err() == nil && !h.HasEnded() {
					c.call(h.Front, "base")
				}
			})
		}
	}
	for g := 0; g < generations && w.killed() == 0; g++ {
		var names []string
		if rig.Trouble() {
			for i := range routesEach {
				names = append(names, fmt.Sprintf("g%d-%d", g, i))
			}
			store.PutJSON(rig.OperatorsTopic, "config", configuration(g+2, names))
			r.Say("configuration %d with %d new routes", g+2, len(names))
			// Longer than a change may take to come into force.
			time.Sleep(2100 * time.Millisecond)
		} else {
			for range routesEach {
				names = append(names, "base")
			}
		}
		c.callAll(names)
		r.Say("generation %d: %d answered, %d not; memory %v MB", g+1, c.answered, c.failed, w.last())
	}
	time.Sleep(time.Second)
	stop()
	wait.Wait()
	r.Say("largest memory %v MB, limit %d MB; killed: %d", w.largest(), fleet.MemoryMB, w.killed())
	if c.answered == 0 {
		return 0, fmt.Errorf("nothing was answered")
	}
	r.Say("requests from kept channels that servers ran and whose channel closed without an answer: %v, %d allowed for each host", c.lost, allowed)
	for _, lost := range c.lost {
		if lost > allowed {
			return rig.Broken, nil
		}
	}
	return rig.Held, nil
}

// crowd sends requests.
type crowd struct {
	*rig.Record
	fleet    *rig.Fleet
	clients  *rig.Clients
	mutex    sync.Mutex
	answered int
	failed   int
	// passedOn holds the attempts that have reached a server, lost counts those of kept channels that got no answer, by host.
	passedOn map[string]bool
	lost     map[string]int
}

// passOn notes that a server got the attempt.
func (c *crowd) passOn(server, id string) {
	c.Note("%s runs %s", server, id)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.passedOn[id] = true
}

// callAll calls each route once on each host.
func (c *crowd) callAll(names []string) {
	work := make(chan [2]string)
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for w := range work {
				c.call(w[0], w[1])
			}
		})
	}
	for _, name := range names {
		for _, h := range c.fleet.Hosts {
			work <- [2]string{h.Front, name}
		}
	}
	close(work)
	wait.Wait()
}

func (c *crowd) call(address, name string) {
	call := rig.Call{ID: rig.NextID(), Method: http.MethodPost, Host: hostName, Path: "/" + name + "/x", Key: key, Body: "read", Limit: 1500 * time.Millisecond}
	a := c.clients.Do(context.Background(), address, call)
	c.Note("%s to %s: %s -> %d signed=%t kept=%t err=%v", call.ID, address, call.Path, a.Status, a.Signed, a.Kept, a.Err)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if a.Err == nil && a.Status == http.StatusOK && a.Signed {
		c.answered++
		return
	}
	c.failed++
	if a.Err != nil && a.Kept && c.passedOn[call.ID] {
		c.lost[address]++
	}
}

// watcher kills a host beyond its memory, as the platform does.
type watcher struct {
	*rig.Record
	fleet   *rig.Fleet
	done    chan struct{}
	mutex   sync.Mutex
	present []int
	most    []int
	kills   int
}

func watch(r *rig.Record, fleet *rig.Fleet) *watcher {
	w := &watcher{Record: r, fleet: fleet, done: make(chan struct{}), present: make([]int, len(fleet.Hosts)), most: make([]int, len(fleet.Hosts))}
	go func() {
		for {
			select {
			case <-w.done:
				return
			case <-time.After(50 * time.Millisecond):
				w.look()
			}
		}
	}()
	return w
}

func (w *watcher) look() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i, h := range w.fleet.Hosts {
		if h.HasEnded() {
			continue
		}
		w.present[i] = h.ResidentMB()
		w.most[i] = max(w.most[i], w.present[i])
		if w.present[i] > w.fleet.MemoryMB {
			w.kills++
			w.Say("%s holds %d MB of %d and is killed", h.Name, w.present[i], w.fleet.MemoryMB)
			h.Signal(syscall.SIGKILL)
			<-h.Ended()
		}
	}
}

func (w *watcher) stop() { close(w.done) }

func (w *watcher) last() []int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]int(nil), w.present...)
}

func (w *watcher) largest() []int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]int(nil), w.most...)
}

func (w *watcher) killed() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.kills
}
