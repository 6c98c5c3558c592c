package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

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
	"timeout_ms":2000,"target_latency_ms":5000,"service":"plain","max_attempts":3}],
	"services":[{"name":"plain","health_path":"/health","max_conns":200}]}`

// startJunkEndpoint registers an endpoint that answers every request with the bytes and closes the connection.
func (h *host) startJunkEndpoint(store *standin.Store, id, answer string) {
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
				_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ID", request.Header.Get("Dotterelpulley-Attempt-Id")))
			}()
		}
	}()
	store.Put(platform.EndpointsTopic, id, fmt.Appendf(nil,
		`{"service":"plain","address":%q,"zone":"a","version":"v1","slots":50,"state":"ready","cold_left_ms":0,"seq":1}`, listener.Addr()))
}

// junkAnswers are heads that can't be parsed.
func junkAnswers() map[string]string {
	junk := strings.Repeat("\x01\xff", junkBytes/2)
	const head = "HTTP/1.1 200 OK\r\nDotterelpulley-Attempt-Id: ID\r\nDotterelpulley-Response-Stamp: s\r\n"
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
			h.startJunkEndpoint(store, name, answer)
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
	peak, err := h.PeakMemory()
	h.Assert(err, qt.IsNil)
	t.Logf("peak memory %d MB", peak>>20)
	h.Assert(peak < smallestMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
}
