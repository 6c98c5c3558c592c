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

// Call is one request of a caller with its own record of the answer's bytes.
type Call struct {
	Request dotterelpulley.Request
	// Within is the deadline.
	Within time.Duration
	// OnChunk is told the number of chunks after each one.
	OnChunk func(chunks int)
}

// Answer is what a caller got.
type Answer struct {
	Status int
	// Text is all bytes of the output, whole or not.
	Text   string
	Chunks int
	// Whole tells that the end mark came.
	Whole bool
	// Refusal is the refusal's kind.
	Refusal string
	Truth   string
	// Cut is why the connection ended before the answer did.
	Cut error
}

// String returns the answer without its output.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, %d chunks, whole %t, refusal %q, truth %q, cut %v", a.Status, a.Chunks, a.Whole, a.Refusal, a.Truth, a.Cut)
}

// Expected reports whether the answer is whole and exactly what the stand-ins give to the request.
func (a Answer) Expected(r dotterelpulley.Request) bool {
	want := standin.Reply(string(r.Payload))
	if r.Payload == nil {
		want = strings.Join(standin.Output(r.Prompt, int(r.MaxTokens)), "")
	}
	return a.Whole && a.Text == want
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

// Send sends the call to the entry address on a connection of its own and reads the streamed answer.
func (c Call) Send(ctx context.Context, entry dotterelpulley.Address) Answer {
	r := c.Request
	body, err := json.Marshal(wireCall{
		Organisation: string(r.Key.Organisation),
		Tier:         r.Tier.String(),
		Service:      string(r.Service),
		Route:        string(r.Route),
		Deadline:     c.Within.String(),
		Prompt:       r.Prompt,
		MaxTokens:    int(r.MaxTokens),
		Payload:      r.Payload,
		Stream:       true,
	})
	if err != nil {
		return Answer{Cut: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(entry)+callPaths[r.Kind], bytes.NewReader(body))
	if err != nil {
		return Answer{Cut: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", string(r.Key.Idempotency))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Cut: err}
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
	a := Answer{Status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		var w wireEvent
		a.Cut = json.NewDecoder(resp.Body).Decode(&w)
		a.Refusal, a.Truth = w.Error, w.Truth
		return a
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
		if ended := c.take(&a, event, data); ended {
			return a
		}
	}
	a.Cut = errors.Join(errors.New("the stream ended without an end mark"), lines.Err())
	return a
}

// take adds one event to the answer and reports whether it is the last.
func (c Call) take(a *Answer, event, data string) bool {
	var w wireEvent
	if err := json.Unmarshal([]byte(data), &w); err != nil {
		a.Cut = fmt.Errorf("event %q: %w", event, err)
		return true
	}
	switch event {
	case "chunk":
		if w.Index != a.Chunks {
			a.Cut = fmt.Errorf("chunk %d came where %d was due", w.Index, a.Chunks)
			return true
		}
		a.Chunks++
		a.Text += w.Text
		if c.OnChunk != nil {
			c.OnChunk(a.Chunks)
		}
		return false
	case "end":
		a.Whole = w.Chunks == a.Chunks
		return true
	case "error":
		a.Refusal, a.Truth = w.Error, w.Truth
		return true
	}
	return false
}
