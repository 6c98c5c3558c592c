// Command dotterelctl checks and publishes operators' files and shows the resulting configuration and moves.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// The exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code  int
	cause error
}

// Error returns the message of the cause.
func (e exitError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e exitError) Unwrap() error {
	return e.cause
}

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var exit exitError
	if errors.As(err, &exit) {
		os.Exit(exit.code)
	}
	os.Exit(exitUsage)
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "dotterelctl",
		Short: "Check and publish configuration and release notes, and watch moves",
		Long: `Check and publish configuration and release notes, and watch moves.

Exit codes: 0 done; 1 a file is wrong, a record was refused or a move was
undone; 2 wrong usage; 3 another operator's change came first; 4 the log could
not be reached, so the outcome is unknown.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(checkCommand(), publishCommand(), watchCommand(), statusCommand(), hostCommand(), tokenCommand())
	return cmd
}
