package prover

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/sourcegraph/conc"
)

const logTailLines = 40

// Process is a running or exited program.
type Process struct {
	Name string

	cmd    *exec.Cmd
	log    logBuffer
	exited chan struct{}
	tasks  conc.WaitGroup
}

// Program describes how to start a process.
type Program struct {
	// Name identifies the process in logs.
	Name string
	Path string
	Args []string
	// Environment holds additional variables as NAME=value.
	Environment []string
	// Output, if set, gets the standard output instead of the process's log.
	Output *os.File
}

// startProcess starts the program without additional environment variables.
func startProcess(name, path string, args ...string) (*Process, error) {
	return Program{Name: name, Path: path, Args: args}.Start()
}

// Start starts the program.
func (program Program) Start() (*Process, error) {
	name := program.Name
	process := &Process{Name: name, cmd: exec.Command(program.Path, program.Args...), exited: make(chan struct{})}
	process.cmd.Env = append(os.Environ(), program.Environment...)
	process.cmd.Stdout = &process.log
	if program.Output != nil {
		process.cmd.Stdout = program.Output
	}
	process.cmd.Stderr = &process.log
	if err := process.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	process.tasks.Go(func() {
		_ = process.cmd.Wait()
		close(process.exited)
	})
	return process, nil
}

// Signal sends the signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s to %s: %w", s, p.Name, err)
	}
	return nil
}

// PeakMemory returns the largest number of bytes of memory that the process has held so far.
func (p *Process) PeakMemory() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("peak memory of %s: %w", p.Name, err)
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("peak memory of %s: no such line", p.Name)
}

// Exited is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// ExitCode waits for the process and returns its exit code, or -1 if a signal ended it.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

// LogTail returns the last lines of the process's output.
func (p *Process) LogTail() string {
	lines := strings.Split(strings.TrimRight(p.log.String(), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}

// FullLog returns the complete output of the process.
func (p *Process) FullLog() string {
	return p.log.String()
}

// Close kills the process if it is running, and waits until it has exited.
func (p *Process) Close() error {
	_ = p.cmd.Process.Kill()
	p.tasks.Wait()
	return nil
}

// logBuffer stores the output of a process.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write appends the bytes.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// String returns everything written so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}
