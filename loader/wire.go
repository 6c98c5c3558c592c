package loader

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

type wirePayload struct {
	Reference string `json:"reference"`
}

type wireRequest struct {
	Organisation string          `json:"organisation"`
	Tier         string          `json:"tier"`
	Service      string          `json:"service"`
	Route        string          `json:"route,omitempty"`
	Deadline     string          `json:"deadline"`
	Conversation string          `json:"conversation,omitempty"`
	Prompt       string          `json:"prompt,omitempty"`
	MaxTokens    int             `json:"max-tokens,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
	Stream       bool            `json:"stream,omitempty"`
}

func toWire(a Arrival, remaining time.Duration) wireRequest {
	r := a.Request
	return wireRequest{
		Organisation: string(r.Key.Organisation),
		Tier:         r.Tier.String(),
		Service:      string(r.Service),
		Route:        string(r.Route),
		Deadline:     remaining.Round(time.Millisecond).String(),
		Conversation: r.Conversation,
		Prompt:       r.Prompt,
		MaxTokens:    int(r.MaxTokens),
		Payload:      r.Payload,
		Stream:       a.Streamed,
	}
}

type wireEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

type wireEntries struct {
	Entries []wireEntry `json:"entries"`
	Keep    string      `json:"keep"`
}

func (w wireEntries) fromWire() (Entries, error) {
	keep, err := time.ParseDuration(w.Keep)
	if err != nil {
		return Entries{}, fmt.Errorf("entries' keep %q: %w", w.Keep, err)
	}
	e := Entries{TTL: keep}
	for _, entry := range w.Entries {
		e.Addresses = append(e.Addresses, dotterelpulley.Address(entry.Address))
	}
	return e, nil
}

type wireBody struct {
	Output  string `json:"output"`
	Chunks  int    `json:"chunks"`
	Version string `json:"version"`
}

func (w wireBody) fromWire() Body {
	return Body{
		Output:  w.Output,
		Chunks:  w.Chunks,
		Version: dotterelpulley.VersionID(w.Version),
	}
}

type wireChunk struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

func (w wireChunk) fromWire() Chunk {
	return Chunk(w)
}

type wireEnd struct {
	Chunks  int    `json:"chunks"`
	Version string `json:"version"`
}

func (w wireEnd) fromWire() End {
	return End{Chunks: w.Chunks, Version: dotterelpulley.VersionID(w.Version)}
}

type wireRefusal struct {
	Error      string `json:"error"`
	Truth      string `json:"truth"`
	RetryAfter string `json:"retry-after"`
}

func (w wireRefusal) fromWire() (Refusal, error) {
	truth, err := parseTruth(w.Truth)
	if err != nil {
		return Refusal{}, err
	}
	r := Refusal{Kind: dotterelpulley.ParseErrorKind(w.Error), Truth: truth}
	if w.RetryAfter == "" {
		return r, nil
	}
	r.RetryAfter, err = time.ParseDuration(w.RetryAfter)
	if err != nil {
		return Refusal{}, fmt.Errorf("refusal's retry-after %q: %w", w.RetryAfter, err)
	}
	return r, nil
}

func parseTruth(name string) (dotterelpulley.Truth, error) {
	for _, t := range []dotterelpulley.Truth{
		dotterelpulley.NotRun,
		dotterelpulley.OutcomeUnknown,
		dotterelpulley.RanAndFailed,
	} {
		if t.String() == name {
			return t, nil
		}
	}
	return 0, fmt.Errorf("refusal's truth %q is not known", name)
}

type wireRun struct {
	Key           string `json:"key"`
	Outcome       string `json:"outcome"`
	Version       string `json:"version"`
	Prefilled     int    `json:"prefilled-tokens"`
	WastedPrefill int    `json:"wasted-prefill-tokens"`
	Digest        string `json:"digest"`
	Continued     bool   `json:"continued"`
}

type wireLedger struct {
	Runs []wireRun `json:"runs"`
}

func (w wireLedger) fromWire() ([]Run, error) {
	runs := make([]Run, 0, len(w.Runs))
	for _, run := range w.Runs {
		r, err := run.fromWire()
		if err != nil {
			return nil, err
		}
		runs = append(runs, r)
	}
	return runs, nil
}

func (w wireRun) fromWire() (Run, error) {
	r := Run{
		Key:           w.Key,
		Outcome:       w.Outcome,
		Version:       dotterelpulley.VersionID(w.Version),
		Prefilled:     dotterelpulley.Tokens(w.Prefilled),
		WastedPrefill: dotterelpulley.Tokens(w.WastedPrefill),
		Continued:     w.Continued,
	}
	if w.Digest == "" {
		return r, nil
	}
	digest, err := strconv.ParseUint(w.Digest, 16, 64)
	if err != nil {
		return Run{}, fmt.Errorf("digest %q of run %q: %w", w.Digest, w.Key, err)
	}
	r.Digest = Digest(digest)
	return r, nil
}
