package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is how a case is played: it says whether the rule was broken, and writes what happened to the record.
type play func(s setup, record *os.File) (broken bool, err error)

// setup is what a case is played with.
type setup struct {
	// program is the gateway; directory is where settings and logs go.
	program   string
	directory string
	// trouble is false if the case is to be played without its disruption.
	trouble bool
}

var cases = map[string]play{
	"hung-streams":   playHungStreams,
	"late-bookings":  playLateBookings,
	"silent-streams": playSilentStreams,
	"two-at-work":    playTwoAtWork,
}

func main() {
	program := flag.String("gateway", "target/dotterel-gateway", "the gateway's program")
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	code, err := run(*program, *name, *path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(program, name, path string) (code int, err error) {
	p, ok := cases[name]
	if !ok {
		return exitNotRun, fmt.Errorf("there is no case %q", name)
	}
	if _, err := os.Stat(program); err != nil {
		return exitNotRun, err
	}
	directory, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(directory)
	record, err := os.Create(path)
	if err != nil {
		return exitNotRun, err
	}
	broken, err := p(setup{program: program, directory: directory, trouble: os.Getenv("TROUBLE") != "0"}, record)
	if err := errors.Join(err, record.Close()); err != nil {
		return exitNotRun, err
	}
	if broken {
		return exitBroken, nil
	}
	return exitHeld, nil
}
