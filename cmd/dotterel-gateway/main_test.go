package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

// host is a process of the command, whose settings are for the address.
type host struct {
	*qt.C
	*prover.Process
	settingsPath string
	settings     []byte
	// output, if set, gets the process's log.
	output *os.File
}

// startHost starts the command with a settings file that prepare creates.
func startHost(t *testing.T, ip string, store dotterelpulley.Address, prepare func(h *host)) *host {
	h := &host{C: qt.New(t), settingsPath: filepath.Join(t.TempDir(), "settings.json")}
	at := func(port string) dotterelpulley.Address { return dotterelpulley.Address(ip + ":" + port) }
	var err error
	h.settings, err = standin.EncodeSettings(platform.Settings{
		Host: "host-1", IP: netip.MustParseAddr(ip), Zone: "a", StoreAddress: store, FirstPeerPort: 7600,
		CallerAddress: at("8001"), DirectoryAddress: at("8002"), ReadinessAddress: at("8003"),
		Bounds: platform.Bounds{RevocationLimit: 5 * time.Second, ShutdownGrace: 8 * time.Second, DirectoryTTL: 5 * time.Second},
	})
	h.Assert(err, qt.IsNil)
	prepare(h)
	dir := t.TempDir()
	_, err = prover.Build(t.Context(), filepath.Join("..", ".."), dir)
	h.Assert(err, qt.IsNil)
	h.Process, err = prover.Program{
		Name: "host-1", Path: filepath.Join(dir, "dotterel-gateway"), Environment: []string{platform.SettingsVariable + "=" + h.settingsPath},
		Output: h.output,
	}.Start()
	h.Assert(err, qt.IsNil)
	t.Cleanup(func() { h.Check(h.Close(), qt.IsNil) })
	return h
}

// address returns a loopback address of this process, as the host's ports are fixed.
func address(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 77+n, os.Getpid()>>8&0xff, os.Getpid()&0xff)
}

// waitForEvent waits until the process has logged the event.
func (h *host) waitForEvent(name string) {
	options := prover.WaitOptions{Timeout: 30 * time.Second, Interval: time.Millisecond}
	h.Assert(prover.WaitUntil(context.Background(), options, name, func() bool {
		return strings.Contains(h.FullLog(), `"event":"`+name+`"`)
	}), qt.IsNil, qt.Commentf("%s", h.LogTail()))
}

// waitUntilReady waits until the readiness check at the address succeeds.
func (h *host) waitUntilReady(url string) {
	options := prover.WaitOptions{Timeout: 30 * time.Second, Interval: 10 * time.Millisecond}
	h.Assert(prover.WaitUntil(context.Background(), options, "readiness", func() bool {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
		h.Assert(err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}), qt.IsNil, qt.Commentf("%s", h.LogTail()))
}

// A host that is told to reload or to stop while it starts must not be killed by the signal.
func TestASignalDuringTheStartDoesNotKillTheHost(t *testing.T) {
	store := standin.StartStore()
	defer store.Close()
	h := startHost(t, address(1), store.Address(), func(h *host) {
		// The process waits for the other end of the pipe as soon as it reads its settings.
		h.Assert(syscall.Mkfifo(h.settingsPath, 0o600), qt.IsNil)
	})
	pipe, err := os.OpenFile(h.settingsPath, os.O_WRONLY, 0)
	h.Assert(err, qt.IsNil)
	defer pipe.Close()
	regular := h.settingsPath + ".new"
	h.Assert(os.WriteFile(regular, h.settings, 0o600), qt.IsNil)
	h.Assert(os.Rename(regular, h.settingsPath), qt.IsNil)
	h.Assert(h.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = pipe.Write(h.settings)
	h.Assert(err, qt.IsNil)
	h.Assert(pipe.Close(), qt.IsNil)
	h.waitForEvent("reload")
	h.Assert(h.Signal(syscall.SIGTERM), qt.IsNil)
	h.Assert(h.ExitCode(), qt.Equals, 0, qt.Commentf("%s", h.LogTail()))
}

const configuration = `{"version":1,"routes":[{"name":"call","host":"h.example","path_prefix":"/call/","kind":"non_idempotent",
	"timeout_ms":20000,"target_latency_ms":5000,"service":"plain","max_attempts":1}],
	"services":[{"name":"plain","health_path":"/health","max_conns":100}]}`

// A supervisor that sends SIGTERM again must not make a draining host drop its requests.
func TestARepeatedSIGTERMCutsNoRequest(t *testing.T) {
	store := standin.StartStore()
	defer store.Close()
	store.Put(platform.OperatorsTopic, platform.ConfigurationKey, []byte(configuration))
	started := make(chan struct{})
	endpoint := standin.StartEndpoint("i-1", "plain", func(w http.ResponseWriter, _ *http.Request, _ int) {
		close(started)
		<-time.After(time.Second)
		standin.SignResponse(w)
	})
	defer endpoint.Close()
	endpoint.Register(store, "ready")
	h := startHost(t, address(2), store.Address(), func(h *host) {
		h.Assert(os.WriteFile(h.settingsPath, h.settings, 0o600), qt.IsNil)
	})
	h.waitUntilReady("http://" + address(2) + ":8003" + platform.ReadyPath)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address(2)+":8001/call/", http.NoBody)
	h.Assert(err, qt.IsNil)
	request.Host = "h.example"
	request.Header.Set("Dotterelpulley-Attempt-Id", "a1")
	answered := make(chan error, 1)
	status := 0
	go func() {
		response, err := http.DefaultTransport.RoundTrip(request)
		if err == nil {
			status = response.StatusCode
			err = response.Body.Close()
		}
		answered <- err
	}()
	select {
	case <-started:
	case err := <-answered:
		h.Fatalf("answered with %d before it ran: %v", status, err)
	}
	h.Assert(h.Signal(syscall.SIGTERM), qt.IsNil)
	h.waitForEvent("drain")
	h.Assert(h.Signal(syscall.SIGTERM), qt.IsNil)
	h.Assert(<-answered, qt.IsNil)
	h.Assert(status, qt.Equals, http.StatusOK)
	h.Assert(h.ExitCode(), qt.Equals, 0, qt.Commentf("%s", h.LogTail()))
}
