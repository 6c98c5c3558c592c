package prover

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

// Call is one request of a caller, sent by a client of its own.
type Call struct {
	Request dotterelpulley.Request
	// Timeout is the time until the deadline of the request.
	Timeout time.Duration
	// OnChunk is called after each chunk with the number of chunks so far.
	OnChunk func(chunks int)
}

// Answer is the answer to a call.
type Answer struct {
	Status int
	// Text is the received output, even if it is incomplete.
	Text   string
	Chunks int
	// Completed reports whether the end event arrived after all chunks.
	Completed bool
	// Refusal is the kind of the refusal.
	Refusal string
	// Truth is what the refusal states about whether the request has run.
	Truth string
	// Err is the error that ended the call before the answer was complete.
	Err error
}

// String returns the answer without its output.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, %d chunks, whole %t, refusal %q, truth %q, cut %v", a.Status, a.Chunks, a.Completed, a.Refusal, a.Truth, a.Err)
}

// MatchesRequest reports whether the answer is complete and exactly the stand-in's output for the request.
func (a Answer) MatchesRequest(r dotterelpulley.Request) bool {
	want := standin.PlainResponse(string(r.Payload))
	if r.Payload == nil {
		want = strings.Join(standin.Output(r.Prompt, int(r.MaxTokens)), "")
	}
	return a.Completed && a.Text == want
}

var callPaths = map[dotterelpulley.RequestKind]string{
	dotterelpulley.KindPlan:    "/v1/plans",
	dotterelpulley.KindNotice:  "/v1/notices",
	dotterelpulley.KindBooking: "/v1/bookings",
}

type wireCall struct {
	Organisation string          `json:"organisation"`
	Tier         string          `json:"tier"`
	Service      string          `json:"service"`
	Route        string          `json:"route"`
	Deadline     string          `json:"deadline"`
	Prompt       string          `json:"prompt,omitempty"`
	MaxTokens    int             `json:"max-tokens,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
	Stream       bool            `json:"stream"`
}

// Send sends the call to the entry address on a new connection and reads the streamed answer.
func (c Call) Send(ctx context.Context, entry dotterelpulley.Address) Answer {
	r := c.Request
	body, err := json.Marshal(wireCall{
		Organisation: string(r.Key.Organisation),
		Tier:         r.Tier.String(),
		Service:      string(r.Service),
		Route:        string(r.Route),
		Deadline:     c.Timeout.String(),
		Prompt:       r.Prompt,
		MaxTokens:    int(r.MaxTokens),
		Payload:      r.Payload,
		Stream:       true,
	})
	if err != nil {
		return Answer{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(entry)+callPaths[r.Kind], bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", string(r.Key.Idempotency))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return c.read(resp)
}

type wireEvent struct {
	Index   int    `json:"index"`
	Text    string `json:"text"`
	Chunks  int    `json:"chunks"`
	Error   string `json:"error"`
	Truth   string `json:"truth"`
	Version string `json:"version"`
}

func (c Call) read(resp *http.Response) Answer {
	answer := Answer{Status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		var received wireEvent
		answer.Err = json.NewDecoder(resp.Body).Decode(&received)
		answer.Refusal, answer.Truth = received.Error, received.Truth
		return answer
	}
	lines := bufio.NewScanner(resp.Body)
	event := ""
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if last := c.addEvent(&answer, event, data); last {
			return answer
		}
	}
	answer.Err = errors.Join(errors.New("the stream ended without an end event"), lines.Err())
	return answer
}

// addEvent adds one event to the answer and reports whether it is the last one.
func (c Call) addEvent(answer *Answer, event, data string) bool {
	var received wireEvent
	if err := json.Unmarshal([]byte(data), &received); err != nil {
		answer.Err = fmt.Errorf("event %q: %w", event, err)
		return true
	}
	switch event {
	case "chunk":
		if received.Index != answer.Chunks {
			answer.Err = fmt.Errorf("received chunk %d, expected chunk %d", received.Index, answer.Chunks)
			return true
		}
		answer.Chunks++
		answer.Text += received.Text
		if c.OnChunk != nil {
			c.OnChunk(answer.Chunks)
		}
		return false
	case "end":
		answer.Completed = received.Chunks == answer.Chunks
		return true
	case "error":
		answer.Refusal, answer.Truth = received.Error, received.Truth
		return true
	}
	return false
}
