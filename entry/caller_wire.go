package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	maxKeyLength     = 200
	maxNameLength    = 100
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 17
)

type wireRequest struct {
	Organisation string          `json:"organisation"`
	Tier         string          `json:"tier"`
	Service      string          `json:"service"`
	Route        string          `json:"route"`
	Deadline     string          `json:"deadline"`
	Conversation string          `json:"conversation"`
	Prompt       string          `json:"prompt"`
	MaxTokens    int             `json:"max-tokens"`
	Payload      json.RawMessage `json:"payload"`
	Stream       bool            `json:"stream"`
}

type wireAnswer struct {
	Output   string `json:"output"`
	Chunks   int    `json:"chunks"`
	Version  string `json:"version"`
	Endpoint string `json:"endpoint"`
}

type wireChunk struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

type wireEnd struct {
	Chunks   int    `json:"chunks"`
	Version  string `json:"version"`
	Endpoint string `json:"endpoint"`
}

type wireRefusal struct {
	Error      string `json:"error"`
	Truth      string `json:"truth"`
	Detail     string `json:"detail"`
	RetryAfter string `json:"retry-after,omitempty"`
}

// decodeRequest decodes and checks a caller's request; stream reports whether the caller wants a streamed answer.
func decodeRequest(kind dotterelpulley.RequestKind, key string, body []byte, now time.Time) (req dotterelpulley.Request, stream bool, err error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	var w wireRequest
	if err := d.Decode(&w); err != nil {
		return req, false, fmt.Errorf("decode body: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return req, false, fmt.Errorf("decode body: more than one JSON value")
	}
	if err := w.check(); err != nil {
		return req, false, err
	}
	idempotency, err := decodeKey(kind, key)
	if err != nil {
		return req, false, err
	}
	tier, err := dotterelpulley.ParseTier(w.Tier)
	if err != nil {
		return req, false, err
	}
	timeout, err := decodeDeadline(w.Deadline, tier)
	if err != nil {
		return req, false, err
	}
	req = dotterelpulley.Request{
		Key: dotterelpulley.Key{
			Organisation: dotterelpulley.OrganisationID(w.Organisation),
			Idempotency:  idempotency,
		},
		Kind:         kind,
		Tier:         tier,
		Service:      dotterelpulley.ServiceID(w.Service),
		Route:        dotterelpulley.RouteID(w.Route),
		Conversation: w.Conversation,
		Prompt:       w.Prompt,
		MaxTokens:    dotterelpulley.Tokens(w.MaxTokens),
		Payload:      bytes.Clone(w.Payload),
		Arrived:      now,
		Deadline:     now.Add(timeout),
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	return req, w.Stream, nil
}

func (w wireRequest) check() error {
	names := []struct{ field, value string }{
		{"organisation", w.Organisation},
		{"service", w.Service},
	}
	for _, n := range names {
		if n.value == "" || len(n.value) > maxNameLength {
			return fmt.Errorf("field %q has %d bytes, allowed are 1 to %d", n.field, len(n.value), maxNameLength)
		}
	}
	if len(w.Route) > maxNameLength {
		return fmt.Errorf("field %q has %d bytes, allowed are 0 to %d", "route", len(w.Route), maxNameLength)
	}
	if w.MaxTokens < 0 || w.MaxTokens > maxTokensLimit {
		return fmt.Errorf("field %q is %d, allowed are 0 to %d", "max-tokens", w.MaxTokens, maxTokensLimit)
	}
	return nil
}

// decodeKey returns the caller's key, or "" for a plan without one, whose key this host issues.
func decodeKey(kind dotterelpulley.RequestKind, key string) (dotterelpulley.IdempotencyKey, error) {
	if len(key) > maxKeyLength {
		return "", fmt.Errorf("header %q has %d bytes, allowed are 1 to %d", headerKey, len(key), maxKeyLength)
	}
	if key != "" {
		return dotterelpulley.IdempotencyKey(key), nil
	}
	if kind != dotterelpulley.KindPlan {
		return "", fmt.Errorf("header %q is required for a %s", headerKey, kind)
	}
	return "", nil
}

func decodeDeadline(text string, tier dotterelpulley.Tier) (time.Duration, error) {
	if text == "" {
		return tier.DefaultDeadline(), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, fmt.Errorf("field %q is %q, allowed is a duration above 0 such as \"30s\"", "deadline", text)
	}
	return d, nil
}

func refusalToWire(r *dotterelpulley.Refusal) wireRefusal {
	w := wireRefusal{
		Error:  r.Kind.String(),
		Truth:  r.Kind.Answer().Truth.String(),
		Detail: r.Detail,
	}
	if r.RetryAfter > 0 {
		w.RetryAfter = r.RetryAfter.String()
	}
	return w
}
