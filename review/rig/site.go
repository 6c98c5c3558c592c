package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the installation, as its site file sets them.
const (
	stabilityWindow = 3 * time.Second
	revokeLimit     = 5 * time.Second
	drainLimit      = 2 * time.Second
	restartDelay    = 700 * time.Millisecond
	startSpread     = 280 * time.Millisecond
	// awayTime is how long the store is away before it returns from a copy.
	awayTime     = 800 * time.Millisecond
	hostName     = "ficu95.example"
	lookupPath   = "/cufi504/fi50/2f"
	bookingPath  = "/puxa403/2f"
	remainingKey = "n2ctnfzs989anu6wsjnb"
)

// site is a small installation on loopback addresses: the store, servers, gateways, and what was seen of requests.
type site struct {
	ctx     context.Context
	cancel  context.CancelFunc
	store   *store
	ledger  *ledger
	gates   []*gateway
	dir     string
	binary  string
	started time.Time

	mutex  sync.Mutex
	record *bufio.Writer
	file   *os.File
}

func newSite(binary, recordPath string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	st := &site{dir: dir, binary: binary, started: time.Now(), file: file, record: bufio.NewWriter(file)}
	st.ctx, st.cancel = context.WithCancel(context.Background())
	st.ledger = &ledger{site: st, attempts: map[string]*attempt{}}
	st.store = startStore()
	return st, nil
}

// note writes a line to the record.
func (st *site) note(format string, args ...any) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	fmt.Fprintf(st.record, "%8.3f  %s\n", time.Since(st.started).Seconds(), fmt.Sprintf(format, args...))
}

func (st *site) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(st.started).Seconds()) }

// close ends all processes.
func (st *site) close() {
	st.cancel()
	for _, g := range st.gates {
		g.shut()
	}
	st.mutex.Lock()
	st.record.Flush()
	st.file.Close()
	st.mutex.Unlock()
	os.RemoveAll(st.dir)
}

// gateway is one machine of the system.
type gateway struct {
	site *site
	name string
	zone string
	ip   string

	front, ready, directory string
	settings                string
	mutex                   sync.Mutex
	process                 *exec.Cmd
	exited                  chan struct{}
	wanted                  bool
	// disturbedAt is when the process was last started or signalled.
	disturbedAt time.Time
	starts      int
}

func freePorts(ips []string, count int) (int, error) {
	for range 200 {
		base := 20000 + rand.IntN(10000)
		free := true
		for _, ip := range ips {
			for p := base; p < base+count && free; p++ {
				l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

var zones = []string{"tartu-a", "tallinn-b", "parnu-c"}

// startGateways starts a fleet as the platform does, each machine at an address of its own.
func (st *site) startGateways(count int) error {
	var ips []string
	prefix := 10 + rand.IntN(200)
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.%d.%d.5", prefix, i+1))
	}
	base, err := freePorts(ips, 32)
	if err != nil {
		return err
	}
	port := func(ip string, n int) string { return net.JoinHostPort(ip, strconv.Itoa(base+n)) }
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, port(ips[i], 19))
	}
	for i, ip := range ips {
		g := &gateway{
			site: st, name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), zone: zones[i%3], ip: ip,
			front: port(ip, 16), ready: port(ip, 17), directory: port(ip, 18),
		}
		storeAddress, err := st.store.listen(i)
		if err != nil {
			return err
		}
		g.settings = filepath.Join(st.dir, g.name+".json")
		settings, _ := json.Marshal(map[string]any{
			"node_name": g.name, "role": "gateway", "machine_class": "front", "serves": []string{"front", "directory"},
			"ip": ip, "zone": g.zone, "region": "eesti", "zones": map[string]string{"tartu-a": "eesti", "tallinn-b": "eesti", "parnu-c": "eesti"},
			"listen":         map[string]string{"front": g.front, "ready": g.ready, "directory": g.directory},
			"internal_ports": []int{base, base + 15}, "seeds": seeds, "bootstrap": true, "counts_as_loss": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "rollout", "platform"},
			"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
				"grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
				"enforce_revoke": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 56,
				"quota_window_s": 8, "quota_overrun": 0.1, "quota_slack": 140000, "exposure_share": 0.1, "exposure_slack": 50,
				"rollback_ms": 5000, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 10, "ttl_max_s": 5,
			},
			"platform": map[string]any{
				"address": storeAddress, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
				"part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
			},
		})
		if err := os.WriteFile(g.settings, settings, 0o644); err != nil {
			return err
		}
		st.gates = append(st.gates, g)
	}
	// The machines start in any order within 0.3 s; here the last of the list of zones comes last.
	order := slices.Clone(st.gates)
	slices.SortFunc(order, func(a, b *gateway) int { return strings.Compare(b.name, a.name) })
	for i, g := range order {
		if i > 0 {
			time.Sleep(startSpread / time.Duration(count-1))
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process, and again after each end while it is wanted.
func (g *gateway) start() error {
	logFile, err := os.OpenFile(filepath.Join(g.site.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	c := exec.Command(g.site.binary)
	c.Env = []string{"DOTTERELPULLEY_SETTINGS=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + g.site.dir, "LANG=C"}
	c.Stdout, c.Stderr = logFile, logFile
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mutex.Lock()
	g.process, g.exited, g.wanted, g.disturbedAt = c, exited, true, time.Now()
	g.starts++
	g.mutex.Unlock()
	g.site.note("machine %s: process starts", g.name)
	go func() {
		err := c.Wait()
		logFile.Close()
		close(exited)
		g.site.note("machine %s: process ended (%v)", g.name, err)
		select {
		case <-g.site.ctx.Done():
			return
		case <-time.After(restartDelay):
		}
		g.mutex.Lock()
		again := g.wanted && g.process == c
		g.mutex.Unlock()
		if again && g.site.ctx.Err() == nil {
			if err := g.start(); err != nil {
				g.site.note("machine %s: %v", g.name, err)
			}
		}
	}()
	return nil
}

func (g *gateway) signal(sig syscall.Signal) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.disturbedAt = time.Now()
	g.site.note("machine %s: %v", g.name, sig)
	g.process.Process.Signal(sig)
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace.
func (g *gateway) terminate(grace time.Duration) {
	g.mutex.Lock()
	process, exited := g.process, g.exited
	g.mutex.Unlock()
	g.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(grace):
			process.Process.Kill()
		}
	}()
}

func (g *gateway) shut() {
	g.mutex.Lock()
	g.wanted = false
	c, exited := g.process, g.exited
	g.mutex.Unlock()
	if c == nil {
		return
	}
	c.Process.Kill()
	<-exited
}

// undisturbedSince returns since when the process has run without a signal or start.
func (g *gateway) undisturbedSince() time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.disturbedAt
}

var plainClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (g *gateway) isReady() bool {
	response, err := plainClient.Get("http://" + g.ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines say that they are ready.
func (st *site) awaitReady(limit time.Duration) error {
	var missing []string
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		missing = nil
		for _, g := range st.gates {
			if !g.isReady() {
				missing = append(missing, g.name)
			}
		}
		if len(missing) == 0 {
			return nil
		}
	}
	return fmt.Errorf("not ready within %s: %v", limit, missing)
}

// resolve asks the machines' directory, as requesters do.
func (st *site) resolve(zone string) []string {
	for _, i := range rand.Perm(len(st.gates)) {
		response, err := plainClient.Get("http://" + st.gates[i].directory + "/api/resolve?name=" + hostName + "&region=eesti&zone=" + zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}

// listed reports whether a machine's directory answer names the machine.
func (st *site) listed(g *gateway) bool {
	for _, a := range st.resolve(g.zone) {
		if a == g.front {
			return true
		}
	}
	return false
}

// attempt is a requester attempt and what became of it.
type attempt struct {
	id      string
	label   string
	sentAt  time.Time
	machine *gateway
	// undisturbedSince is when the machine was last started or signalled before the attempt.
	undisturbedSince time.Time
	arrivals         []arrival
	runs             []arrival
	status           int
	answer           []byte
	err              error
	stamp            string
	answeredAt       time.Time
}

type arrival struct {
	at     time.Time
	server string
	tenant string
}

// ledger holds what requesters and servers have seen.
type ledger struct {
	site     *site
	mutex    sync.Mutex
	attempts map[string]*attempt
	order    []*attempt
}

func (l *ledger) arrived(id string, s *server, r *http.Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if a := l.attempts[id]; a != nil {
		a.arrivals = append(a.arrivals, arrival{time.Now(), s.id, r.Header.Get("Dotterelpulley-Tenant")})
	}
}

func (l *ledger) runs(id string, s *server, r *http.Request) {
	l.mutex.Lock()
	a := l.attempts[id]
	if a != nil {
		a.runs = append(a.runs, arrival{time.Now(), s.id, r.Header.Get("Dotterelpulley-Tenant")})
	}
	l.mutex.Unlock()
	if a == nil {
		l.site.note("server %s runs request %q that nobody sent", s.id, id)
	} else if a.label != "" {
		l.site.note("server %s runs %s (%s)", s.id, a.id, a.label)
	}
}

// all returns the attempts in the order in which they were sent.
func (l *ledger) all() []*attempt {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]*attempt(nil), l.order...)
}

// writeAttempts writes a line for each requester attempt: what was sent, where it ran and what came back.
func (st *site) writeAttempts() {
	st.ledger.mutex.Lock()
	defer st.ledger.mutex.Unlock()
	st.mutex.Lock()
	defer st.mutex.Unlock()
	fmt.Fprintln(st.record, "\nall requests: time sent, id, machine, servers that ran it, status, time answered")
	for _, a := range st.ledger.order {
		var ran []string
		for _, r := range a.runs {
			ran = append(ran, r.server)
		}
		answered := "-"
		if !a.answeredAt.IsZero() {
			answered = st.at(a.answeredAt)
		}
		fmt.Fprintf(st.record, "%8s  %s  %s  [%s]  %d  %s\n", st.at(a.sentAt), a.id, a.machine.name, strings.Join(ran, " "), a.status, answered)
	}
}

// call is a request of a requester.
type call struct {
	label, method, path, key string
	body                     []byte
	header                   map[string]string
	limit                    time.Duration
}

// send makes one requester attempt on a new channel of the machine and waits for its end. Attempts with a label are recorded.
func (st *site) send(g *gateway, c call) *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), label: c.label, machine: g, undisturbedSince: g.undisturbedSince(), sentAt: time.Now()}
	st.ledger.mutex.Lock()
	st.ledger.attempts[a.id] = a
	st.ledger.order = append(st.ledger.order, a)
	st.ledger.mutex.Unlock()
	if c.label != "" {
		st.note("requester sends %s (%s) %s %s to %s", a.id, c.label, c.method, c.path, g.name)
	}
	status, stamp, answer, err := st.exchange(g, c, a.id)
	st.ledger.mutex.Lock()
	a.status, a.stamp, a.answer, a.err, a.answeredAt = status, stamp, answer, err, time.Now()
	st.ledger.mutex.Unlock()
	if c.label != "" {
		st.note("requester of %s gets status %d, stamp %q, error %v", a.id, status, stamp, err)
	}
	return a
}

func (st *site) exchange(g *gateway, c call, id string) (status int, stamp string, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(st.ctx, c.limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+g.front+c.path, bytes.NewReader(c.body))
	if err != nil {
		return 0, "", nil, err
	}
	r.Host = hostName
	r.Header.Set("Dotterelpulley-Attempt-Id", id)
	r.Header.Set("Dotterelpulley-Deadline-Ms", strconv.FormatInt(c.limit.Milliseconds(), 10))
	r.Header.Set("Accept-Encoding", "identity")
	if c.key != "" {
		r.Header.Set("Api-Key", c.key)
	}
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get("Dotterelpulley-Response-Stamp"), answer, err
}

// route is a route of a configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"path_prefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int    `json:"timeout_ms"`
	TargetMS    int    `json:"target_latency_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	GapTargetMS int    `json:"gap_target_ms,omitempty"`
}

type tenant struct {
	Name        string   `json:"name"`
	APIKeys     []string `json:"api_keys"`
	Priority    int      `json:"priority"`
	Unit        string   `json:"unit"`
	PlainTokens int      `json:"plain_tokens"`
	RatePerS    int      `json:"rate_per_s"`
	Burst       int      `json:"burst"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// configuration encodes a configuration as the operator writes it.
func configuration(version int, routes []route, services []service, tenants []tenant) []byte {
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return data
}

func (g *gateway) kill() { g.signal(syscall.SIGKILL) }
