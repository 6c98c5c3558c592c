package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

const (
	// crowdMemory and crowdDescriptors are the limits of the host, lower than those of any of the users' hosts.
	crowdMemory      = 64 << 20
	crowdDescriptors = 500
	// fileDescriptors are the descriptors that the platform reserves for files; sockets share the rest.
	fileDescriptors = 200
	// maxHead and maxBody are the operators' limits.
	maxHead = 16384
	maxBody = 4 << 20

	crowdConfiguration = `{"version":1,"routes":[{"name":"lookup","host":"h.example","path_prefix":"/lookup/","kind":"idempotent",
		"timeout_ms":20000,"target_latency_ms":5000,"service":"plain","max_attempts":3}],
		"services":[{"name":"plain","health_path":"/health","max_conns":200}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":10000,"idle_timeout_ms":60000}}`
)

// The ports of a host's listeners.
const (
	callerPort    = "8001"
	directoryPort = "8002"
	readinessPort = "8003"
	peerPort      = "7600"
	metricsPort   = "7601"
)

const (
	lookupHead = "POST /lookup/ HTTP/1.1\r\nHost: h.example\r\nDotterelpulley-Attempt-Id: ID\r\n"
	chunked    = "Transfer-Encoding: chunked\r\n\r\n"
)

// crowd is a crowd at a port of the host.
type crowd struct {
	clients int
	port    string
	text    string
	unit    string
	units   int
}

func crowds() map[string]crowd {
	incomplete := lookupHead + prover.ShortLines(60<<10)
	oneByteShort := "Content-Length: 2\r\n\r\nx"
	query := prover.CompressedZeros(4000 << 10)
	return map[string]crowd{
		"heads of short lines, bodies one byte short":             {200, callerPort, lookupHead + prover.ShortLines(15<<10) + oneByteShort, "", 0},
		"heads of lines with one name, bodies one byte short":     {200, callerPort, lookupHead + strings.Repeat("a1:\r\n", 3<<10) + oneByteShort, "", 0},
		"heads of short lines, chunks of 32 KB":                   {200, callerPort, lookupHead + prover.ShortLines(15<<10) + chunked + "8001\r\n" + strings.Repeat("x", 32<<10), "", 0},
		"heads over the limit":                                    {100, callerPort, incomplete + oneByteShort, "", 0},
		"heads without end":                                       {100, callerPort, incomplete, "", 0},
		"heads without end at the directory":                      {100, directoryPort, incomplete, "", 0},
		"heads without end at the readiness check":                {100, readinessPort, incomplete, "", 0},
		"heads without end at the metrics":                        {100, metricsPort, incomplete, "", 0},
		"compressed queries at the port for hosts":                {200, peerPort, "POST /dotterel.relayer.v1.Relayer/Follow HTTP/1.1\r\nHost: h\r\nContent-Type: application/dotterel\r\nContent-Encoding: gzip\r\nContent-Length: " + strconv.Itoa(len(query)) + "\r\n\r\n" + query, "", 0},
		"heads without end at the port for hosts":                 {100, peerPort, incomplete, "", 0},
		"one header line without end":                             {200, callerPort, lookupHead + "A: ", strings.Repeat("x", 1<<10), 2 << 10},
		"short lines without end":                                 {200, callerPort, lookupHead, "a1:\r\n", 400 << 10},
		"empty lines without end before a request":                {200, callerPort, "", "\r\n", 1 << 20},
		"empty lines without end after a request":                 {200, callerPort, lookupHead + "Content-Length: 0\r\n\r\n", "\r\n", 1 << 20},
		"chunks of 4 MB, ten bytes short":                         {100, callerPort, lookupHead + chunked + "400000\r\n" + strings.Repeat("x", maxBody-10), "", 0},
		"chunks of 32 KB, ten bytes short":                        {1000, callerPort, lookupHead + chunked + "8000\r\n" + strings.Repeat("x", 32<<10-10), "", 0},
		"chunks of one byte":                                      {600, callerPort, lookupHead + chunked + prover.Chunks(25600), "", 0},
		"chunks of one byte, large bodies":                        {60, callerPort, lookupHead + chunked + prover.Chunks(400<<10), "", 0},
		"chunk extensions without end":                            {100, callerPort, lookupHead + chunked + "1;", strings.Repeat("x", 1<<10), 2 << 10},
		"trailers of short lines":                                 {200, callerPort, lookupHead + chunked + "0\r\n" + prover.ShortLines(60<<10), "", 0},
		"connections that send nothing":                           {1000, callerPort, "", "", 0},
		"connections that send nothing after a request":           {600, callerPort, "GET /none/ HTTP/1.1\r\nHost: h.example\r\n\r\n", "", 0},
		"connections that send nothing at the port for hosts":     {600, peerPort, "", "", 0},
		"requests under way with heads of short lines, pipelined": {100, callerPort, strings.Repeat("GET /none/ HTTP/1.1\r\nHost: h.example\r\n"+prover.ShortLines(3<<10)+"\r\n", 3) + lookupHead + prover.ShortLines(12<<10), "", 0},
	}
}

// furtherCrowds returns the same kinds at the other listeners, and odd lines.
func furtherCrowds() map[string]crowd {
	oneByteShort := "Content-Length: 2\r\n\r\nx"
	all := map[string]crowd{
		"continued lines without end":               {200, callerPort, lookupHead + "A: b\r\n", " c\r\n", 400 << 10},
		"lines of a control byte":                   {200, callerPort, lookupHead + strings.Repeat("\x01:\r\n", 3<<10), "", 0},
		"lines without a colon":                     {200, callerPort, lookupHead + strings.Repeat("a\r\n", 3<<10), "", 0},
		"forwarded bodies of 4 MB, ten bytes short": {100, peerPort, lookupHead + "Dotterel-Forwarded: 1\r\nContent-Length: 4194304\r\n\r\n" + strings.Repeat("x", maxBody-10), "", 0},
	}
	for listener, port := range map[string]string{
		"the directory": directoryPort, "the readiness check": readinessPort, "the metrics": metricsPort, "the port for hosts": peerPort,
	} {
		for kind, c := range map[string]crowd{
			"heads of short lines, bodies one byte short": {200, port, lookupHead + prover.ShortLines(15<<10) + oneByteShort, "", 0},
			"heads over the limit":                        {100, port, lookupHead + prover.ShortLines(60<<10) + oneByteShort, "", 0},
			"empty lines without end before a request":    {200, port, "", "\r\n", 1 << 20},
			"chunks of 4 MB, ten bytes short":             {100, port, lookupHead + chunked + "400000\r\n" + strings.Repeat("x", maxBody-10), "", 0},
			"chunks of one byte":                          {200, port, lookupHead + chunked + prover.Chunks(25600), "", 0},
		} {
			all[kind+" at "+listener] = c
		}
	}
	return all
}

// press opens the crowd's connections, which the test's end closes, and returns when each client has sent all that the host takes.
func (c crowd) press(t *testing.T, ip string) {
	clients := &prover.Crowd{Clients: c.clients, Text: c.text, Unit: c.unit, Units: c.units}
	// The host has closed some of them.
	t.Cleanup(func() { _ = clients.Close() })
	qt.Check(t, clients.Press(t.Context(), dotterelpulley.Address(net.JoinHostPort(ip, c.port))), qt.IsNil)
}

// startCrowdedHost starts a host with little memory and few descriptors, and an endpoint that answers it.
func startCrowdedHost(t *testing.T, ip string) *host {
	store := standin.StartStore()
	t.Cleanup(store.Close)
	store.Put(platform.OperatorsTopic, platform.ConfigurationKey, []byte(crowdConfiguration))
	endpoint := standin.StartEndpoint("i-1", "plain", func(w http.ResponseWriter, r *http.Request, _ int) {
		standin.SignResponse(w)
		fmt.Fprintf(w, "%d bytes", r.ContentLength)
	})
	t.Cleanup(endpoint.Close)
	endpoint.Register(store, "ready")
	h := startHost(t, ip, store.Address(), func(h *host) {
		var settings map[string]any
		h.Assert(json.Unmarshal(h.settings, &settings), qt.IsNil)
		settings["limits"] = map[string]any{"memory_mb": crowdMemory >> 20, "max_fds": crowdDescriptors}
		data, err := json.Marshal(settings)
		h.Assert(err, qt.IsNil)
		h.Assert(os.WriteFile(h.settingsPath, data, 0o600), qt.IsNil)
	})
	h.waitUntilReady("http://" + ip + ":" + readinessPort + platform.ReadyPath)
	return h
}

// request sends a request on a connection of its own and returns the status and the body of its answer.
func request(ip, text string) (status int, body string, err error) {
	conn, err := net.Dial("tcp", net.JoinHostPort(ip, callerPort))
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(25 * time.Second)); err != nil {
		return 0, "", err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// waitUntilServed sends ordinary requests until one is served.
func (h *host) waitUntilServed(ip, id string) {
	text := strings.ReplaceAll(lookupHead, "ID", id) + "Content-Length: 5\r\n\r\nhello"
	status, body, tries := 0, "", 0
	options := prover.WaitOptions{Timeout: 60 * time.Second, Interval: 50 * time.Millisecond}
	h.Assert(prover.WaitUntil(h.TB.(*testing.T).Context(), options, "an ordinary request is served", func() bool {
		select {
		case <-h.Exited():
			h.Fatalf("the process has ended: %s", h.LogTail())
		default:
		}
		tries++
		status, body, _ = request(ip, text)
		return status == http.StatusOK
	}), qt.IsNil, qt.Commentf("status %d", status))
	h.Assert(body, qt.Equals, "5 bytes")
	h.Logf("%s served at try %d", id, tries)
}

// waitUntilRead waits until the host has read what it received.
func (h *host) waitUntilRead(ip string) {
	options := prover.WaitOptions{Timeout: 60 * time.Second, Interval: 20 * time.Millisecond}
	h.Assert(prover.WaitUntil(h.TB.(*testing.T).Context(), options, "the host has read what it received", func() bool {
		unread, err := prover.UnreadBytes(ip)
		h.Assert(err, qt.IsNil)
		return unread == 0
	}), qt.IsNil)
}

// Crowds of clients that hold requests, or connections without any, took more memory and descriptors than the host has.
func TestCrowdsEndNoHost(t *testing.T) {
	if testing.Short() {
		t.Skip("each crowd takes seconds")
	}
	all := crowds()
	maps.Copy(all, furtherCrowds())
	for number, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			checkCrowds(t, address(20+number), all[name])
		})
	}
}

// A tenth of each crowd at once must not end a host either.
func TestAMixedCrowdEndsNoHost(t *testing.T) {
	if testing.Short() {
		t.Skip("the crowd takes seconds")
	}
	var mixed []crowd
	all := crowds()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		c := all[name]
		c.clients /= 10
		mixed = append(mixed, c)
	}
	checkCrowds(t, address(100), mixed...)
}

// checkCrowds checks that a host serves an ordinary request beside the crowds, within its memory and descriptors.
func checkCrowds(t *testing.T, ip string, crowds ...crowd) {
	h := startCrowdedHost(t, ip)
	h.waitUntilServed(ip, "before")
	var pressing conc.WaitGroup
	for _, c := range crowds {
		pressing.Go(func() { c.press(t, ip) })
	}
	pressing.Wait()
	h.waitUntilServed(ip, "beside")
	h.waitUntilRead(ip)
	h.waitUntilServed(ip, "beside-2")
	peak, err := h.PeakMemory()
	h.Assert(err, qt.IsNil)
	sockets, err := h.Sockets()
	h.Assert(err, qt.IsNil)
	h.Logf("peak memory %d MB, %d sockets", peak>>20, sockets)
	h.Check(peak < crowdMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
	h.Check(sockets <= crowdDescriptors-fileDescriptors, qt.IsTrue, qt.Commentf("%d sockets", sockets))
}

// A request within the operators' limits is served by a host without other work, whatever it is made of.
func TestARequestWithinTheLimitsIsServedInCalm(t *testing.T) {
	if testing.Short() {
		t.Skip("the host is a process")
	}
	const ip = 101
	h := startCrowdedHost(t, address(ip))
	h.waitUntilServed(address(ip), "ordinary")
	head := func(id, framing string) string { return strings.ReplaceAll(lookupHead, "ID", id) + framing + "\r\n" }
	filled := func(id, framing string) string {
		rest := maxHead - len(head(id, framing))
		return strings.TrimSuffix(head(id, framing), "\r\n") + prover.ShortLines(rest) + "\r\n"
	}
	const length = "Content-Length: 4194304\r\n"
	for name, test := range map[string]struct {
		text  string
		bytes int
	}{
		"short lines":                   {filled("a-1", "Content-Length: 5\r\n") + "hello", 5},
		"one long line":                 {strings.TrimSuffix(head("a-2", "Content-Length: 5\r\n"), "\r\n") + "A: " + strings.Repeat("x", 15<<10) + "\r\n\r\nhello", 5},
		"a large body":                  {head("a-3", length) + strings.Repeat("x", maxBody), maxBody},
		"short lines and a large body":  {filled("a-4", length) + strings.Repeat("x", maxBody), maxBody},
		"a large body in small chunks":  {head("a-5", "Transfer-Encoding: chunked\r\n") + prover.Chunks(1<<20) + "0\r\n\r\n", 1 << 20},
		"short lines and small chunks":  {filled("a-6", "Transfer-Encoding: chunked\r\n") + prover.Chunks(25600) + "0\r\n\r\n", 25600},
		"a large body in a large chunk": {head("a-7", "Transfer-Encoding: chunked\r\n") + "400000\r\n" + strings.Repeat("x", maxBody) + "\r\n0\r\n\r\n", maxBody},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			status, body, err := request(address(ip), test.text)
			c.Assert(err, qt.IsNil)
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(body, qt.Equals, fmt.Sprintf("%d bytes", test.bytes))
		})
	}
	peak, err := h.PeakMemory()
	h.Assert(err, qt.IsNil)
	h.Assert(peak < crowdMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
}
