package prover

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Binaries are the built programs of the module.
type Binaries struct {
	dir string
}

// Build builds every program of the module into the directory.
func Build(ctx context.Context, module, dir string) (Binaries, error) {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(os.PathSeparator), "./cmd/...")
	cmd.Dir = module
	if out, err := cmd.CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("build the programs: %w: %s", err, out)
	}
	return Binaries{dir: dir}, nil
}

// Has reports whether there is a program of that name.
func (b Binaries) Has(name string) bool {
	_, err := os.Stat(b.path(name))
	return err == nil
}

func (b Binaries) path(name string) string {
	return filepath.Join(b.dir, name)
}

// RunResult is the result of a program that has exited.
type RunResult struct {
	ExitCode int
	Output   string
}

// Run runs the program until it exits.
func (b Binaries) Run(ctx context.Context, name string, args ...string) (RunResult, error) {
	out, err := exec.CommandContext(ctx, b.path(name), args...).CombinedOutput()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		return RunResult{ExitCode: exitErr.ExitCode(), Output: string(out)}, nil
	}
	if err != nil {
		return RunResult{}, fmt.Errorf("run %s: %w", name, err)
	}
	return RunResult{Output: string(out)}, nil
}
