// Command rig plays one review case: it starts gateways as separate processes beside stand-ins of the platform, the servers
// and the requesters, disturbs them, and judges what requesters and servers have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

// longestPlay is the time after which a play is given up.
const longestPlay = 115 * time.Second

// cases maps the name of a case to its play, which returns whether the rule was broken and why.
var cases = map[string]func(st *site, trouble bool) (bool, string, error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE GATEWAY-BINARY FOLDER")
		os.Exit(unknown)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, folder string) int {
	binary, err := filepath.Abs(binary)
	if err == nil {
		_, err = os.Stat(binary)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	st, err := newSite(binary, filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	defer st.close()
	// All processes end with the play, also if it is interrupted or lasts too long.
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longestPlay):
		}
		fmt.Println("the case could not run: interrupted or too long")
		st.close()
		os.Exit(unknown)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	st.note("case %s, trouble %v", name, trouble)
	isBroken, why, err := cases[name](st, trouble)
	defer st.writeAttempts()
	switch {
	case err != nil:
		st.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return unknown
	case isBroken:
		st.note("BROKEN: %s", why)
		fmt.Println("broken:", why)
		return broken
	}
	st.note("HELD: %s", why)
	fmt.Println("held:", why)
	return held
}
