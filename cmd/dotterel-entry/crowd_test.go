package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
)

const (
	// crowdMemory and crowdConnections are the limits of the host, in bytes of memory and in clients' connections.
	crowdMemory      = 96 << 20
	crowdConnections = 300
	// ownSockets are more than the host needs beside its clients.
	ownSockets = 40

	crowdSettings = `
[limits]
memory-bytes = 100663296
connections = 300
`
)

// The ports of an entry host of a prover.Site.
const (
	callerPort   = "7100"
	peerPort     = "7101"
	operatorPort = "7102"
)

// crowd is a crowd at a port of the host.
type crowd struct {
	clients int
	port    string
	text    string
}

// exchangeHead begins a message of another host.
const exchangeHead = "POST /dotterelpulley.peer.v1.PeerService/Exchange HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"

const planHead = "POST /v1/plans HTTP/1.1\r\nHost: h.example\r\n"

func crowds() map[string]crowd {
	plan, message := prover.CompressedZeros(100<<20), prover.CompressedZeros(60<<20)
	return map[string]crowd{
		"heads of short lines, bodies one byte short": {400, callerPort, planHead + prover.ShortLines(15<<10) + "Content-Length: 2\r\n\r\nx"},
		"heads without end":                           {400, callerPort, planHead + prover.ShortLines(60<<10)},
		"bodies of 1 MB, ten bytes short":             {200, callerPort, planHead + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<20-10)},
		"chunks of 32 KB, ten bytes short":            {1000, callerPort, planHead + "Transfer-Encoding: chunked\r\n\r\n8000\r\n" + strings.Repeat("x", 32<<10-10)},
		"compressed bodies":                           {40, callerPort, planHead + "Content-Type: application/json\r\nContent-Encoding: gzip\r\nContent-Length: " + strconv.Itoa(len(plan)) + "\r\n\r\n" + plan},
		"bodies of 1 MB at the port for hosts":        {200, peerPort, exchangeHead + "Content-Length: 1048576\r\n\r\n" + strings.Repeat(" ", 1<<20-10)},
		"compressed bodies at the port for hosts":     {40, peerPort, exchangeHead + "Content-Encoding: gzip\r\nContent-Length: " + strconv.Itoa(len(message)) + "\r\n\r\n" + message},
		"connections that send nothing":               {1000, callerPort, ""},
		"heads without end at the operators' port":    {400, operatorPort, planHead + prover.ShortLines(60<<10)},
		"bodies of 4 MB at the operators' port":       {60, operatorPort, "POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 4194304\r\n\r\n" + strings.Repeat("x", 4<<20-10)},
		"heads without end at the port for hosts":     {200, peerPort, planHead + prover.ShortLines(60<<10)},
		"heads at the port for hosts":                 {200, peerPort, planHead + prover.ShortLines(60<<10) + "Content-Length: 2\r\n\r\nx"},
		"connections that send nothing to hosts":      {1000, peerPort, ""},
	}
}

// furtherCrowds returns more kinds at each listener; each sends half a megabyte of empty lines at most.
func furtherCrowds() map[string]crowd {
	all := map[string]crowd{}
	for listener, port := range map[string]string{"callers": callerPort, "operators": operatorPort, "hosts": peerPort} {
		for kind, c := range map[string]crowd{
			"heads of lines with one name, bodies one byte short": {400, port, planHead + strings.Repeat("a1:\r\n", 3<<10) + "Content-Length: 2\r\n\r\nx"},
			"heads of 3 KB of short lines, bodies one byte short": {400, port, planHead + prover.ShortLines(3<<10) + "Content-Length: 2\r\n\r\nx"},
			"continued lines without end":                         {200, port, planHead + "A: b\r\n" + strings.Repeat(" c\r\n", 100<<10)},
			"lines of a control byte":                             {200, port, planHead + strings.Repeat("\x01:\r\n", 3<<10)},
			"one header line without end":                         {200, port, planHead + "A: " + strings.Repeat("x", 1<<20)},
			"empty lines without end before a request":            {200, port, strings.Repeat("\r\n", 256<<10)},
			"chunks of one byte":                                  {600, port, planHead + "Transfer-Encoding: chunked\r\n\r\n" + prover.Chunks(25600)},
			"chunks of 1 MB, ten bytes short":                     {100, port, planHead + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("x", 1<<20-10)},
		} {
			all[kind+", "+listener] = c
		}
	}
	return all
}

// press opens the crowd's connections, which the test's end closes, and returns when each client has sent all that the host takes.
func (c crowd) press(t *testing.T, ip string) {
	clients := &prover.Crowd{Clients: c.clients, Text: c.text}
	// The host has closed some of them.
	t.Cleanup(func() { _ = clients.Close() })
	qt.Check(t, clients.Press(t.Context(), dotterelpulley.Address(net.JoinHostPort(ip, c.port))), qt.IsNil)
}

// build builds the programs once.
var build = sync.OnceValues(func() (prover.Binaries, error) {
	dir, err := os.MkdirTemp("", "crowds")
	if err != nil {
		return prover.Binaries{}, err
	}
	binaryDir = dir
	return prover.Build(context.Background(), filepath.Join("..", ".."), dir)
})

// binaryDir is where the programs are; empty if they haven't been built.
var binaryDir string

func TestMain(m *testing.M) {
	code := m.Run()
	if binaryDir != "" {
		_ = os.RemoveAll(binaryDir)
	}
	os.Exit(code)
}

// host is an entry host under test.
type host struct {
	*qt.C
	*prover.Entry
	ip string
}

func startHost(t *testing.T, n int) *host {
	c := qt.New(t)
	dir := t.TempDir()
	binaries, err := build()
	c.Assert(err, qt.IsNil)
	network := fmt.Sprintf("127.%d.%d", 140+n, os.Getpid()&0xff)
	site, err := prover.NewSite(prover.SiteSettings{
		Binaries: binaries, Network: network, Dir: dir, Zones: []dotterelpulley.ZoneID{"tartu-a"}, Entries: 1,
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { c.Check(site.Close(), qt.IsNil) })
	settings, err := os.OpenFile(filepath.Join(dir, "entry-1.toml"), os.O_APPEND|os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	_, err = settings.WriteString(crowdSettings)
	c.Assert(err, qt.IsNil)
	c.Assert(settings.Close(), qt.IsNil)
	published, err := binaries.Run(t.Context(), "dotterelctl", "publish", "--log", string(site.Log.Address()),
		filepath.Join("..", "..", "examples", "pollulaotus", "configuration.toml"))
	c.Assert(err, qt.IsNil)
	c.Assert(published.ExitCode, qt.Equals, 0, qt.Commentf("%s", published.Output))
	h := &host{C: c, Entry: site.Entries[0], ip: network + ".1"}
	c.Assert(h.Start(), qt.IsNil)
	h.waitFor("the host is ready", h.Ready)
	return h
}

func (h *host) waitFor(description string, condition func() bool) {
	options := prover.WaitOptions{Timeout: 60 * time.Second, Interval: 20 * time.Millisecond}
	h.Assert(prover.WaitUntil(h.TB.(*testing.T).Context(), options, description, func() bool {
		select {
		case <-h.Exited():
			h.Fatalf("the process has ended: %s", h.LogTail())
		default:
		}
		return condition()
	}), qt.IsNil)
}

// served reports whether an ordinary request is answered.
func (h *host) served() bool {
	return h.ask(callerPort, "/v1/entries?zone=tartu-a")
}

// ask reports whether the path is answered at the port, on a connection of its own.
func (h *host) ask(port, path string) bool {
	conn, err := net.Dial("tcp", net.JoinHostPort(h.ip, port))
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(25*time.Second)) != nil {
		return false
	}
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && len(data) > 0
}

// Crowds of clients that hold requests, or connections without any, took more memory and sockets than an entry host has.
func TestCrowdsEndNoEntryHost(t *testing.T) {
	if testing.Short() {
		t.Skip("each crowd takes seconds")
	}
	all := crowds()
	maps.Copy(all, furtherCrowds())
	for number, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, number)
			h.waitFor("an ordinary request is served", h.served)
			all[name].press(t, h.ip)
			h.waitFor("an ordinary request is served beside the crowd", h.served)
			h.waitFor("the host has read what it received", func() bool {
				unread, err := prover.UnreadBytes(h.ip)
				h.Assert(err, qt.IsNil)
				return unread == 0
			})
			h.waitFor("another one is served", h.served)
			peak, err := h.PeakMemory()
			h.Assert(err, qt.IsNil)
			sockets, err := h.Sockets()
			h.Assert(err, qt.IsNil)
			h.Logf("peak memory %d MB, %d sockets", peak>>20, sockets)
			h.Check(peak < crowdMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
			h.Check(sockets <= crowdConnections+ownSockets, qt.IsTrue, qt.Commentf("%d sockets", sockets))
		})
	}
}

// A request within the limits is served by a host without other work, whatever its head is made of.
func TestARequestOfShortLinesIsServedInCalm(t *testing.T) {
	if testing.Short() {
		t.Skip("the host is a process")
	}
	h := startHost(t, 40)
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"short lines": {"GET /v1/entries?zone=tartu-a HTTP/1.1\r\nHost: h.example\r\n" + prover.ShortLines(15<<10) + "\r\n", http.StatusOK},
		// The body is read whole and found to be no request.
		"a large body":          {planHead + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<20), http.StatusBadRequest},
		"a body of blank lines": {planHead + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("\n", 1<<20), http.StatusBadRequest},
	} {
		conn, err := net.Dial("tcp", net.JoinHostPort(h.ip, callerPort))
		h.Assert(err, qt.IsNil)
		h.Assert(conn.SetDeadline(time.Now().Add(25*time.Second)), qt.IsNil)
		_, err = io.WriteString(conn, test.text)
		h.Assert(err, qt.IsNil, qt.Commentf(name))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		h.Assert(err, qt.IsNil, qt.Commentf(name))
		h.Check(response.StatusCode, qt.Equals, test.status, qt.Commentf(name))
		response.Body.Close()
		conn.Close()
	}
}
