package soaker

import (
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
	// shutdownGrace is the time between the signal to stop and the kill.
	shutdownGrace = 8 * time.Second
	// askLimit bounds a question to a host.
	askLimit = time.Second
)

// host is one gateway, as one process after another, with its own way to the store.
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
	h.program = prover.Program{Name: string(id), Path: s.Gateway, Environment: []string{platform.SettingsVariable + "=" + path}}
	return h, nil
}

func addressOf(ip netip.Addr, port uint16) dotterelpulley.Address {
	return dotterelpulley.Address(netip.AddrPortFrom(ip, port).String())
}

// start begins a new process unless one runs.
func (h *host) start() error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process != nil {
		select {
		case <-h.process.Exited():
			h.logs = append(h.logs, h.process.WholeLog())
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

// number is which start of the host runs.
func (h *host) number() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.starts
}

func (h *host) running() *prover.Process {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.process
}

// signal sends a signal; one to a process that has ended has no effect.
func (h *host) signal(s syscall.Signal) {
	p := h.running()
	select {
	case <-p.Exited():
	default:
		_ = p.Signal(s) // It may have ended since.
	}
}

// stop asks the process to end, and kills it after the grace.
func (h *host) stop(ctx context.Context) {
	h.signal(syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, shutdownGrace)
	defer cancel()
	p := h.running()
	select {
	case <-p.Exited():
	case <-ctx.Done():
		h.kill()
	}
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	_ = h.running().Close() // It reports no failure.
}

// ready reports whether the host says that it serves.
func (h *host) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
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

// close ends the host for good and returns what its processes wrote.
func (h *host) close() []string {
	if h.running() != nil {
		h.kill()
		h.logs = append(h.logs, h.running().WholeLog())
	}
	_ = h.store.Close() // Its listener may be closed by a fault already.
	return h.logs
}
