// Command dotterel-load sends a seeded load to entry hosts and validates the answers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitAnswers = 3
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newCommand().ExecuteContext(ctx)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "dotterel-load:", err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	if errors.Is(err, errAnswers) {
		return exitAnswers
	}
	if errors.Is(err, errRun) {
		return exitFailed
	}
	return exitUsage
}
