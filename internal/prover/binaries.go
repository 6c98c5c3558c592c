package prover

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Binaries are the project's programs, built once.
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

// Ran is what a program that has ended left.
type Ran struct {
	Code   int
	Output string
}

// Run runs the program to its end.
func (b Binaries) Run(ctx context.Context, name string, args ...string) (Ran, error) {
	out, err := exec.CommandContext(ctx, b.path(name), args...).CombinedOutput()
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		return Ran{Code: failed.ExitCode(), Output: string(out)}, nil
	}
	if err != nil {
		return Ran{}, fmt.Errorf("run %s: %w", name, err)
	}
	return Ran{Output: string(out)}, nil
}
