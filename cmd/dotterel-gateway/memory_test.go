package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley/internal/prover"
	"github.com/dotterelpulley/dotterelpulley/platform"
	"github.com/dotterelpulley/dotterelpulley/platform/standin"
)

const (
	// smallestMemory is that of the smallest host of the users' deployments, in bytes.
	smallestMemory = 134 << 20
	junkBytes      = 60 << 10
	junkCallers    = 50
	callsEach      = 40
)

const lookupConfiguration = `{"version":1,"routes":[{"name":"lookup","host":"h.example","path_prefix":"/lookup/","kind":"idempotent",
	"timeout_ms":2000,"target_latency_ms":5000,"service":"plain","max_attempts":3},{"name":"advice","host":"h.example",
	"path_prefix":"/advice/","kind":"streaming","timeout_ms":2000,"target_latency_ms":5000,"gap_target_ms":250,"service":"plain",
	"max_attempts":3,"resumable":true}],
	"services":[{"name":"plain","health_path":"/health","max_conns":200}]}`

// startJunkEndpoint registers an endpoint that answers every request with the bytes, in which ID stands for the request's id, and then
// sends the unit until the connection is closed; without a unit, it closes the connection.
func (h *host) startJunkEndpoint(store *standin.Store, id, answer, unit string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	h.Assert(err, qt.IsNil)
	h.TB.(*testing.T).Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, err = io.WriteString(conn, strings.ReplaceAll(answer, "ID", request.Header.Get("Dotterelpulley-Attempt-Id")))
				many := strings.Repeat(unit, (4<<10)/max(len(unit), 1)+1)
				for unit != "" && err == nil {
					_, err = io.WriteString(conn, many)
				}
			}()
		}
	}()
	store.Put(platform.EndpointsTopic, id, fmt.Appendf(nil,
		`{"service":"plain","address":%q,"zone":"a","version":"v1","slots":50,"state":"ready","cold_left_ms":0,"seq":1}`, listener.Addr()))
}

// signedHead begins a success of the endpoint.
const signedHead = "HTTP/1.1 200 OK\r\nDotterelpulley-Attempt-Id: ID\r\nDotterelpulley-Response-Stamp: s\r\n"

// junkAnswers are heads that can't be parsed.
func junkAnswers() map[string]string {
	junk := strings.Repeat("\x01\xff", junkBytes/2)
	const head = signedHead
	return map[string]string{
		"field":             head + junk + "\r\n\r\n",
		"status-line":       "HTTP/1.1 " + junk + "\r\n\r\n",
		"content-length":    head + "Content-Length: " + strings.Repeat("x", junkBytes) + "\r\n\r\n",
		"transfer-encoding": head + "Transfer-Encoding: " + strings.Repeat("x", junkBytes) + "\r\n\r\n",
		"trailer":           head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("x", 3<<10) + "\r\n\r\n",
	}
}

// Answers of 60 KB that can't be parsed filled the memory of a host whose log was taken slowly.
func TestAnswersThatAreJunkFillTheMemoryByTheLog(t *testing.T) {
	reader, output, err := os.Pipe()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { reader.Close() })
	t.Cleanup(func() { output.Close() })
	store := standin.StartStore()
	t.Cleanup(store.Close)
	store.Put(platform.OperatorsTopic, platform.ConfigurationKey, []byte(lookupConfiguration))
	// Nobody reads the pipe.
	h := startHost(t, address(3), store.Address(), func(h *host) {
		h.output = output
		h.Assert(os.WriteFile(h.settingsPath, h.settings, 0o600), qt.IsNil)
		for name, answer := range junkAnswers() {
			h.startJunkEndpoint(store, name, answer, "")
		}
	})
	h.waitUntilReady("http://" + address(3) + ":8003" + platform.ReadyPath)
	statuses := make(chan int, junkCallers*callsEach)
	var callers conc.WaitGroup
	for caller := range junkCallers {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for call := range callsEach {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address(3)+":8001/lookup/", http.NoBody)
				h.Check(err, qt.IsNil)
				request.Host = "h.example"
				id := strconv.Itoa(caller) + "-" + strconv.Itoa(call)
				if call%4 == 0 {
					id += strings.Repeat("x", 20<<10)
				}
				request.Header.Set("Dotterelpulley-Attempt-Id", id)
				response, err := client.Do(request)
				if !h.Check(err, qt.IsNil) {
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				statuses <- response.StatusCode
			}
		})
	}
	callers.Wait()
	h.Assert(statuses, qt.HasLen, junkCallers*callsEach)
	close(statuses)
	for status := range statuses {
		h.Assert(status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("status %d", status))
	}
	h.checkMemory()
}

// Bodies without end, which their callers don't read, must not fill the memory.
func TestBodiesWithoutEndFillTheMemoryBehindSlowCallers(t *testing.T) {
	const events = signedHead + "Content-Type: text/event-stream\r\n\r\n"
	largeEvent := "id: " + strings.Repeat("1", 3<<10) + "\ndata: " + strings.Repeat("x", 900<<10) + "\n\n"
	store := standin.StartStore()
	t.Cleanup(store.Close)
	store.Put(platform.OperatorsTopic, platform.ConfigurationKey, []byte(lookupConfiguration))
	h := startHost(t, address(4), store.Address(), func(h *host) {
		h.Assert(os.WriteFile(h.settingsPath, h.settings, 0o600), qt.IsNil)
		for name, body := range map[string]struct{ answer, unit string }{
			"plain":        {signedHead + "\r\n", "more bytes\n"},
			"chunked":      {signedHead + "Transfer-Encoding: chunked\r\n\r\n", "b\r\nmore bytes\n\r\n"},
			"events":       {events, "data: more bytes\n\n"},
			"large-events": {events, largeEvent},
			"one-event":    {events, "data: more bytes\n"},
			"comments":     {events, ": more bytes\n\n"},
		} {
			h.startJunkEndpoint(store, name, body.answer, body.unit)
		}
	})
	h.waitUntilReady("http://" + address(4) + ":8003" + platform.ReadyPath)
	for caller := range 300 {
		conn, err := net.Dial("tcp", address(4)+":8001")
		h.Assert(err, qt.IsNil)
		t.Cleanup(func() { conn.Close() })
		request := []string{"GET /lookup/", "POST /advice/"}[caller%2]
		// Nobody reads the answer.
		_, err = fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: h.example\r\nDotterelpulley-Attempt-Id: %d\r\nContent-Length: 0\r\n\r\n", request, caller)
		h.Assert(err, qt.IsNil)
	}
	options := prover.WaitOptions{Timeout: 30 * time.Second, Interval: 50 * time.Millisecond}
	h.Assert(prover.WaitUntil(t.Context(), options, "all requests have ended", func() bool {
		counts := h.metrics("http://" + address(4) + ":7601/metrics")
		return counts["requests"] == 300 && counts["in-flight"] == 0
	}), qt.IsNil)
	h.checkMemory()
}

// metrics returns the host's counters and gauges.
func (h *host) metrics(url string) map[string]int64 {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	h.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	h.Assert(err, qt.IsNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	h.Assert(err, qt.IsNil)
	counts := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), " ")
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			counts[name] = n
		}
	}
	return counts
}

// checkMemory checks that the process has never held more than the smallest host has.
func (h *host) checkMemory() {
	peak, err := h.PeakMemory()
	h.Assert(err, qt.IsNil)
	h.Logf("peak memory %d MB", peak>>20)
	h.Assert(peak < smallestMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
}
