package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	callerPort    = 8221
	readyPort     = 8224
	directoryPort = 8220
)

// machine is a front machine with its gateway.
type machine struct {
	name    string
	ip      string
	command *exec.Cmd
	exited  chan struct{}
}

func (m *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, port)
}

// settings returns the settings file of a small deployment.
func (m *machine) settings(store string) map[string]any {
	return map[string]any{
		"node_name": m.name, "role": "gateway", "machine_class": "front", "serves": []string{"front", "directory"}, "ip": m.ip,
		"zone": zone, "region": "region", "zones": map[string]string{zone: "region"},
		"listen":         map[string]string{"front": m.address(callerPort), "ready": m.address(readyPort), "directory": m.address(directoryPort)},
		"internal_ports": []int{7600, 7615}, "seeds": []string{}, "bootstrap": true, "counts_as_loss": false,
		"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 0},
		"discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "enforce_revoke": true, "revoke_ms": 5000,
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 56, "quota_window_s": 8, "quota_overrun": 0.1, "quota_slack": 140000,
			"exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 10, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": store, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2, "part_mb_s": 20, "read_mb_s": 80, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000},
	}
}

func (m *machine) start(program, directory, store string) error {
	path := filepath.Join(directory, m.name+".json")
	if err := os.WriteFile(path, encode(m.settings(store)), 0o600); err != nil {
		return err
	}
	m.command = exec.Command(program)
	m.command.Env = append(os.Environ(), "DOTTERELPULLEY_SETTINGS="+path)
	// The gateway must not outlast the case.
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func() {
		defer close(m.exited)
		_ = m.command.Wait() // It is killed in the end.
	}()
	return nil
}

// kill ends the gateway and waits for its end.
func (m *machine) kill() {
	if m.exited == nil {
		return
	}
	_ = m.command.Process.Kill() // It may have ended already.
	<-m.exited
}

var errNotReady = errors.New("a machine isn't ready in time")

// awaitReady waits until the machine's readiness check succeeds.
func (m *machine) awaitReady(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for ctx.Err() == nil {
		if m.ready(ctx) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s: %w", m.name, errNotReady)
}

func (m *machine) ready(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(readyPort)+"/api/ready", http.NoBody)
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
