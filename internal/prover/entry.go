package prover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin/proxy"
	"github.com/dotterelpulley/dotterelpulley/lister"
)

// Entry is an entry host: its process, and the proxies on its connections.
type Entry struct {
	*Process
	Host            lister.Host
	OperatorAddress dotterelpulley.Address
	// CallerProxy and PeerProxy are the proxies in front of the host's listeners.
	CallerProxy proxy.Proxy
	PeerProxy   proxy.Proxy
	// LogProxy and HostListProxy are the proxies between the host and the platform.
	LogProxy      proxy.Proxy
	HostListProxy proxy.Proxy

	// Mover is the host's mover process, nil before StartMover.
	Mover *Process

	binaries          Binaries
	settingsPath      string
	moverSettingsPath string
	client            http.Client
}

// IdleTimeout is the entry hosts' read timeout of a stream.
const IdleTimeout = 2 * time.Second

const (
	operatorTimeout = 2 * time.Second

	entrySettingsTemplate = `host = %q
zone = %q
caller-address = %q
peer-address = %q
operator-address = %q
log-address = %q
host-list-address = %q

[timeouts]
idle = %q
drain = "30s"
keep-entries = "1s"
host-list-every = "100ms"
load-every = "100ms"
`

	moverSettingsTemplate = `host = %q
zone = %q
operator-address = %q
log-address = %q
host-list-address = %q
lease = "3s"
order-timeout = "500ms"
`
)

// newEntry creates entry host n and starts its proxies, but not its process.
func (s *Site) newEntry(n int) (*Entry, error) {
	ip := fmt.Sprintf("%s.%d", s.network, n)
	id := fmt.Sprintf("entry-%d", n)
	e := &Entry{
		OperatorAddress: address(ip, 7102),
		binaries:        s.Binaries,
		client:          http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	e.CallerProxy.Target = address(ip, 7100)
	e.PeerProxy.Target = address(ip, 7101)
	e.LogProxy.Target = s.Log.Address()
	e.HostListProxy.Target = s.Hosts.Address()
	for _, p := range e.proxies() {
		if err := p.Start(address(ip, 0)); err != nil {
			return nil, errors.Join(err, e.close())
		}
	}
	e.Host = lister.Host{
		ID:          dotterelpulley.HostID(id),
		Kind:        lister.KindEntry,
		Address:     e.CallerProxy.Address(),
		PeerAddress: e.PeerProxy.Address(),
		Zone:        s.Zones[(n-1)%len(s.Zones)],
	}
	settings := fmt.Sprintf(
		entrySettingsTemplate, id, e.Host.Zone, e.CallerProxy.Target, e.PeerProxy.Target, e.OperatorAddress, e.LogProxy.Address(), e.HostListProxy.Address(),
		IdleTimeout,
	)
	moverSettings := fmt.Sprintf(moverSettingsTemplate, id, e.Host.Zone, address(ip, 7103), e.LogProxy.Address(), e.HostListProxy.Address())
	e.settingsPath = filepath.Join(s.dir, id+".toml")
	e.moverSettingsPath = filepath.Join(s.dir, id+"-mover.toml")
	return e, errors.Join(
		os.WriteFile(e.settingsPath, []byte(settings), 0o600),
		os.WriteFile(e.moverSettingsPath, []byte(moverSettings), 0o600),
	)
}

func address(ip string, port int) dotterelpulley.Address {
	return dotterelpulley.Address(fmt.Sprintf("%s:%d", ip, port))
}

func (e *Entry) proxies() []*proxy.Proxy {
	return []*proxy.Proxy{&e.CallerProxy, &e.PeerProxy, &e.LogProxy, &e.HostListProxy}
}

// Start starts the host's process; each process is a new incarnation.
func (e *Entry) Start() error {
	p, err := startProcess(string(e.Host.ID), e.binaries.path("dotterel-entry"), e.settingsPath)
	if err != nil {
		return err
	}
	e.Process = p
	return nil
}

// StartMover starts the host's mover.
func (e *Entry) StartMover() error {
	p, err := startProcess("mover of "+string(e.Host.ID), e.binaries.path("dotterel-mover"), e.moverSettingsPath)
	if err != nil {
		return err
	}
	e.Mover = p
	return nil
}

// processes returns the last started entry and mover processes of the host, running or exited.
func (e *Entry) processes() []*Process {
	var found []*Process
	for _, p := range []*Process{e.Process, e.Mover} {
		if p != nil {
			found = append(found, p)
		}
	}
	return found
}

// Ready reports whether the host's readiness check succeeds.
func (e *Entry) Ready() bool {
	status, _, err := e.QueryOperator(http.MethodGet, "/readyz")
	return err == nil && status == http.StatusOK
}

// QueryOperator sends a request to the operator listener and returns the status and the body.
func (e *Entry) QueryOperator(method, path string) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+string(e.OperatorAddress)+path, nil)
	if err != nil {
		return 0, nil, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// Status is the status that a host reports.
type Status struct {
	Ready        bool             `json:"ready"`
	Draining     bool             `json:"draining"`
	LiveRequests int              `json:"live-requests"`
	EntryHosts   int              `json:"entry-hosts"`
	Revision     int64            `json:"revision"`
	Endpoints    []EndpointStatus `json:"endpoints"`
}

// EndpointStatus is the status of an endpoint that a host reports.
type EndpointStatus struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Versions []string `json:"versions"`
}

// Status returns the host's status, or the zero value if the query fails.
func (e *Entry) Status() Status {
	var s Status
	_, body, err := e.QueryOperator(http.MethodGet, "/v1/status")
	if err != nil || json.Unmarshal(body, &s) != nil {
		return Status{}
	}
	return s
}

// Counter returns a counter of the host's process, or 0 if the query fails.
func (e *Entry) Counter(name string) int {
	var vars struct {
		Counters map[string]int `json:"dotterel"`
	}
	_, body, err := e.QueryOperator(http.MethodGet, "/debug/vars")
	if err != nil || json.Unmarshal(body, &vars) != nil {
		return 0
	}
	return vars.Counters[name]
}

// close kills the processes and closes the proxies.
func (e *Entry) close() error {
	var errs []error
	for _, p := range e.processes() {
		errs = append(errs, p.Close())
	}
	for _, p := range e.proxies() {
		errs = append(errs, p.Close())
	}
	return errors.Join(errs...)
}
