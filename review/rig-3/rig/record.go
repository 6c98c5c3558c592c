package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Results of a case, the exit codes of its script.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Record is the file in which a case notes what was sent, answered and run.
type Record struct {
	mutex   sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

// OpenRecord creates the file that the command line names.
func OpenRecord() *Record {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD")
		os.Exit(CannotRun)
	}
	file, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	return &Record{file: file, out: bufio.NewWriter(file), started: time.Now()}
}

// Note writes a line with the time since the start.
func (r *Record) Note(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.out.Flush()
	r.file.Close()
}

// Trouble reports whether the case's disruption is wanted.
func Trouble() bool {
	return os.Getenv("TROUBLE") != "0"
}

// Main runs a case, whose function returns the result, and ends the process with it.
func Main(run func(r *Record) (int, error)) {
	r := OpenRecord()
	result, err := run(r)
	if err != nil {
		r.Say("cannot run: %v", err)
		result = CannotRun
	}
	r.Say("result %d", result)
	r.Close()
	os.Exit(result)
}
