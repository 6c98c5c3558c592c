// Command case-hang fetches a host's metrics over a channel that falls silent for some seconds in the middle of the answer.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"rig3/rig"
)

const (
	hostCount  = 2
	routeCount = 1500
	callers    = 32
	rate       = 10
	work       = 50 * time.Millisecond
	hostName   = "notices.example"
	key        = "key-1"
	// timeout is that of the routes, grace how much later an answer may come, and patience how long clients wait.
	timeout  = 1500 * time.Millisecond
	grace    = 500 * time.Millisecond
	patience = 3 * time.Second
	// fetchEvery is the time between two fetches of the metrics.
	fetchEvery = 5 * time.Second
	// silence is how long the channel is silent, stability the time after which the host counts as in touch again.
	silence   = 12 * time.Second
	stability = 3 * time.Second
	// segment and window, in bytes, are those of the fetching side, as links have small windows.
	segment = 536
	window  = 4096
)

func main() {
	rig.Main(run)
}

func route(name, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": 300, "priority": 1, "service": "register-app", "max_attempts": 1,
	}
}

func configuration(version int, names []string) map[string]any {
	routes := []map[string]any{route("dispatch", "non_idempotent")}
	for _, name := range names {
		routes = append(routes, route(name, "idempotent"))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "register-app", "health_path": "/health", "max_conns": 560}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": []string{key}}},
	}
}

func run(r *rig.Record) (int, error) {
	store, err := rig.StartStore("127.0.0.1")
	if err != nil {
		return 0, err
	}
	defer store.Close()
	store.PutJSON(rig.OperatorsTopic, "config", configuration(1, nil))
	j := &judge{Record: r, clients: rig.NewClients(), ran: map[string]bool{}}
	for i := range 4 {
		s := &rig.Server{ID: fmt.Sprintf("i-%d", i), Service: "register-app", Version: "v1", Zone: "peel-coast", Slots: 6}
		s.Handler = func(w http.ResponseWriter, request *http.Request) {
			j.noteRun(s.ID, request.Header.Get("Dotterelpulley-Attempt-Id"))
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
	defer fleet.Close()
	for range hostCount {
		if _, err := fleet.Start("peel-coast"); err != nil {
			return 0, err
		}
	}
	if err := fleet.AwaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	var names []string
	for i := range routeCount {
		names = append(names, fmt.Sprintf("route-%d", i))
	}
	store.PutJSON(rig.OperatorsTopic, "config", configuration(2, names))
	r.Say("configuration 2 has %d more routes", len(names))
	// Longer than a change may take to come into force.
	time.Sleep(2100 * time.Millisecond)
	j.callAll(fleet, names)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait sync.WaitGroup
	for _, h := range fleet.Hosts {
		wait.Go(func() { j.load(ctx, h) })
	}
	address := fleet.MetricsAddress(fleet.Hosts[0])
	for n := range 4 {
		if n == 1 && rig.Trouble() {
			err = j.fetch(address, silence)
		} else {
			err = j.fetch(address, 0)
		}
		if err != nil {
			return 0, err
		}
		time.Sleep(fetchEvery)
	}
	stop()
	wait.Wait()
	return j.verdict(fleet.Hosts[0].Name), nil
}

type judge struct {
	*rig.Record
	clients *rig.Clients
	mutex   sync.Mutex
	ran     map[string]bool
	calls   []call
	// silentFrom and silentTo are when the channel was silent.
	silentFrom time.Time
	silentTo   time.Time
}

type call struct {
	id     string
	host   string
	sentAt time.Time
	took   time.Duration
	rig.Answer
}

func (j *judge) noteRun(server, id string) {
	j.Note("%s runs %s", server, id)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.ran[id] = true
}

// callAll calls each route once on each host.
func (j *judge) callAll(fleet *rig.Fleet, names []string) {
	work := make(chan [2]string)
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for w := range work {
				j.clients.Do(context.Background(), w[0], rig.Call{ID: rig.NextID(), Method: http.MethodGet, Host: hostName, Path: "/" + w[1] + "/x", Key: key, Limit: patience})
			}
		})
	}
	for _, name := range names {
		for _, h := range fleet.Hosts {
			work <- [2]string{h.Front, name}
		}
	}
	close(work)
	wait.Wait()
	j.Say("each route was called once on each host")
}

// load sends requests to the host until the context is done.
func (j *judge) load(ctx context.Context, h *rig.Host) {
	ticker := time.NewTicker(time.Second / rate)
	defer ticker.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wait.Go(func() {
			c := call{id: rig.NextID(), host: h.Name, sentAt: time.Now()}
			j.Note("%s is sent to %s", c.id, c.host)
			c.Answer = j.clients.Do(context.Background(), h.Front, rig.Call{
				ID: c.id, Method: http.MethodPost, Host: hostName, Path: "/dispatch/x", Key: key, Body: "sent", Limit: patience,
			})
			c.took = time.Since(c.sentAt)
			j.Note("%s at %s -> %d signed=%t after %v err=%v", c.id, c.host, c.Status, c.Signed, c.took, c.Err)
			j.mutex.Lock()
			defer j.mutex.Unlock()
			j.calls = append(j.calls, c)
		})
	}
}

// fetch gets the metrics as the platform does; the channel is silent for that long in the middle of the answer.
func (j *judge) fetch(address string, silent time.Duration) error {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			if failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment); failed == nil {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			}
		})
		if err == nil {
			err = failed
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET /metrics HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", address); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(conn, 512)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if silent > 0 {
		j.mutex.Lock()
		j.silentFrom = time.Now()
		j.silentTo = j.silentFrom.Add(silent)
		j.mutex.Unlock()
		j.Say("the channel of the metrics falls silent")
		time.Sleep(silent)
		j.Say("the channel of the metrics goes on")
	}
	n, err := io.Copy(io.Discard, response.Body)
	j.Say("fetched %d bytes of metrics, err=%v", n, err)
	return nil
}

func (j *judge) verdict(fetched string) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	sent, unanswered, late, neverAnswered := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	for _, c := range j.calls {
		if rig.Trouble() && (c.sentAt.Before(j.silentFrom.Add(stability)) || c.sentAt.Add(timeout+grace).After(j.silentTo)) {
			continue
		}
		sent[c.host]++
		if c.took > timeout {
			unanswered[c.host]++
		}
		if c.took > timeout+grace {
			late[c.host]++
		}
		if c.Err != nil && j.ran[c.id] {
			neverAnswered[c.host]++
		}
	}
	for host, n := range sent {
		j.Say("%s: %d judged, %d without an answer at %v, %d of them %v later; run by a server and never answered: %d", host, n, unanswered[host], timeout, late[host], grace, neverAnswered[host])
	}
	if sent[fetched] == 0 {
		j.Say("nothing was judged")
		return rig.CannotRun
	}
	for host := range sent {
		if 2*late[host] > unanswered[host] {
			return rig.Broken
		}
	}
	return rig.Held
}
