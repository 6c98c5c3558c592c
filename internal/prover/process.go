package prover

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"

	"github.com/sourcegraph/conc"
)

const logTailLines = 40

// Process is a program that runs beside the test.
type Process struct {
	Name string

	cmd    *exec.Cmd
	log    logBuffer
	exited chan struct{}
	tasks  conc.WaitGroup
}

// Program is how a process is started.
type Program struct {
	// Name is what the process is called in logs.
	Name string
	Path string
	Args []string
	// Environment is added to the caller's own, as NAME=text.
	Environment []string
}

// startProcess starts the program without settings in its environment.
func startProcess(name, path string, args ...string) (*Process, error) {
	return Program{Name: name, Path: path, Args: args}.Start()
}

// Start starts the program; its log names it.
func (g Program) Start() (*Process, error) {
	name := g.Name
	p := &Process{Name: name, cmd: exec.Command(g.Path, g.Args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), g.Environment...)
	p.cmd.Stdout = &p.log
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p.tasks.Go(func() {
		_ = p.cmd.Wait()
		close(p.exited)
	})
	return p, nil
}

// Signal sends the signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s to %s: %w", s, p.Name, err)
	}
	return nil
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} {
	return p.exited
}

// ExitCode returns the code of a process that has ended, -1 for one that a signal ended.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.cmd.ProcessState.ExitCode()
}

// Log returns the last lines that the process wrote.
func (p *Process) Log() string {
	lines := strings.Split(strings.TrimRight(p.log.String(), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}

// WholeLog returns all that the process wrote.
func (p *Process) WholeLog() string {
	return p.log.String()
}

// Close kills the process if it still runs, and waits for its end.
func (p *Process) Close() error {
	_ = p.cmd.Process.Kill()
	p.tasks.Wait()
	return nil
}

// logBuffer keeps what a process writes.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write keeps the bytes.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// String returns all that was written.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}
