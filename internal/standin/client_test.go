package standin_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

const testTimeout = 10 * time.Second

// eventually waits until the condition holds.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.NewTimer(testTimeout)
	defer deadline.Stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline.C:
			t.Fatalf("timed out waiting until %s", description)
		}
	}
}

// starter is a stand-in that a test can start and close.
type starter interface {
	Start(address dotterelpulley.Address) error
	Close() error
}

func start(c *qt.C, s starter) {
	c.Helper()
	c.Assert(s.Start("127.0.0.1:0"), qt.IsNil)
	c.Cleanup(func() { c.Check(s.Close(), qt.IsNil) })
}

// caller is a client with its own connections.
type caller struct {
	*qt.C
	http.Client
}

func newCaller(c *qt.C) *caller {
	transport := &http.Transport{}
	c.Cleanup(transport.CloseIdleConnections)
	return &caller{C: c, Client: http.Client{Transport: transport, Timeout: testTimeout}}
}

func (c *caller) send(method string, address dotterelpulley.Address, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	c.Assert(err, qt.IsNil)
	req, err := http.NewRequest(method, "http://"+string(address)+path, bytes.NewReader(data))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Idempotency-Key", "test/key")
	req.Header.Set("Route", "season-plan")
	return c.Do(req)
}

// call sends a request and returns the status and the body.
func (c *caller) call(method string, address dotterelpulley.Address, path string, body any) (int, string) {
	c.Helper()
	resp, err := c.send(method, address, path, body)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp.StatusCode, string(data)
}

func (c *caller) get(address dotterelpulley.Address, path string, target any) {
	c.Helper()
	status, body := c.call(http.MethodGet, address, path, nil)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	c.Assert(json.Unmarshal([]byte(body), target), qt.IsNil)
}

type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	RequestID string `json:"request_id"`
}

// stream is an open stream of tokens.
type stream struct {
	body      io.ReadCloser
	lines     *bufio.Scanner
	tokens    []string
	cached    int
	completed bool
}

// open sends a request and returns its response as a stream.
func (c *caller) open(address dotterelpulley.Address, path string, body any) *stream {
	c.Helper()
	resp, err := c.send(http.MethodPost, address, path, body)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Cleanup(func() { _ = resp.Body.Close() })
	return &stream{body: resp.Body, lines: bufio.NewScanner(resp.Body)}
}

// next reads the next token and reports whether there was one.
func (s *stream) next() bool {
	for s.lines.Scan() {
		data, ok := strings.CutPrefix(s.lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.completed = true
			return false
		}
		var token struct {
			Choices []struct {
				Text         string  `json:"text"`
				FinishReason *string `json:"finish_reason"`
			} `json:"choices"`
			Usage struct {
				Cached int `json:"cached_tokens"`
			} `json:"usage"`
		}
		if json.Unmarshal([]byte(data), &token) != nil {
			return false
		}
		s.cached = token.Usage.Cached
		if token.Choices[0].FinishReason == nil {
			s.tokens = append(s.tokens, token.Choices[0].Text)
			return true
		}
	}
	return false
}

// rest reads the remaining tokens.
func (s *stream) rest() *stream {
	for s.next() {
		continue
	}
	_ = s.body.Close()
	return s
}

func prompt(words string, tokens int) string {
	return fmt.Sprintf("%s len=%d", words, tokens)
}

// useFreePorts makes the set listen on free ports.
func useFreePorts(set *standin.Set) {
	const free = "127.0.0.1:0"
	set.Control = free
	set.Log.Address = free
	set.Hosts.Address = free
	set.Weights.Address = free
	for i := range set.Engines {
		set.Engines[i].Address = free
	}
	for i := range set.Plain {
		set.Plain[i].Address = free
	}
}
