package soaker

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/internal/standin/proxy"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

const (
	callersPort   = 8001
	directoryPort = 8002
	readyPort     = 8003
	peerPort      = 7600
	controlPort   = 8009
	// shutdownGrace is the time between SIGTERM and SIGKILL.
	shutdownGrace = 8 * time.Second
	// queryTimeout is the timeout of a query to a host.
	queryTimeout = time.Second
)

// host is one gateway with a store connection of its own; it runs as a series of processes.
type host struct {
	id       dotterelpulley.HostID
	program  prover.Program
	settings platform.Settings
	store    *proxy.Proxy

	mutex   sync.Mutex
	process *prover.Process
	starts  int
	logs    []string
}

func newHost(id dotterelpulley.HostID, ip netip.Addr, seeds []dotterelpulley.Address, store dotterelpulley.Address, s Settings) (*host, error) {
	h := &host{id: id, store: &proxy.Proxy{Target: store}}
	if err := h.store.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	h.settings = platform.Settings{
		Host: id, IP: ip, Zone: "a", StoreAddress: h.store.Address(), Seeds: seeds, FirstPeerPort: peerPort,
		CallerAddress: addressOf(ip, callersPort), DirectoryAddress: addressOf(ip, directoryPort), ReadinessAddress: addressOf(ip, readyPort),
		Bounds: platform.Bounds{
			RevocationLimit: revocationLimit, ShutdownGrace: shutdownGrace, RetryRatio: budgetRatio, RetryExtra: budgetExtra,
			UsageWindow: usageWindow, DirectoryTTL: 5 * time.Second,
		},
	}
	data, err := standin.EncodeSettings(h.settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.Directory, fmt.Sprintf("%s-%d.json", id, s.Seed))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, fmt.Errorf("settings of %s: %w", id, err)
	}
	h.program = prover.Program{Name: string(id), Path: cmp.Or(s.Production, s.Gateway), Environment: []string{platform.SettingsVariable + "=" + path}}
	return h, nil
}

func addressOf(ip netip.Addr, port uint16) dotterelpulley.Address {
	return dotterelpulley.Address(netip.AddrPortFrom(ip, port).String())
}

// start starts a new process unless one is running.
func (h *host) start() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process != nil {
		select {
		case <-h.process.Exited():
			h.logs = append(h.logs, h.process.FullLog())
		default:
			return nil
		}
	}
	p, err := h.program.Start()
	if err != nil {
		return err
	}
	h.process = p
	h.starts++
	return nil
}

// startCount returns how many processes the host has started, which identifies the current one.
func (h *host) startCount() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.starts
}

func (h *host) currentProcess() *prover.Process {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.process
}

// signal sends a signal to the process unless it has exited.
func (h *host) signal(s syscall.Signal) {
	p := h.currentProcess()
	select {
	case <-p.Exited():
	default:
		_ = p.Signal(s) // The process may have exited since the check.
	}
}

// stop sends SIGTERM, and kills the process after the grace period.
func (h *host) stop(ctx context.Context) {
	h.signal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, shutdownGrace)
	defer cancel()
	p := h.currentProcess()
	select {
	case <-p.Exited():
	case <-ctx.Done():
		h.kill()
	}
}

// kill kills the process and waits until it has exited.
func (h *host) kill() {
	_ = h.currentProcess().Close() // Close always returns nil.
}

// ready reports whether the host's readiness check succeeds.
func (h *host) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(h.settings.ReadinessAddress)+platform.ReadyPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close kills the host's process, closes its store proxy and returns the output of all its processes.
func (h *host) close() []string {
	if h.currentProcess() != nil {
		h.kill()
		h.logs = append(h.logs, h.currentProcess().FullLog())
	}
	_ = h.store.Close() // A fault may have closed the listener already.
	return h.logs
}
