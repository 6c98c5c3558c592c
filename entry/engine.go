package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

type wireCompletion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	RequestID string `json:"request_id"`
}

type wireResume struct {
	RequestID string `json:"request_id"`
	From      int    `json:"from"`
}

type wireCancel struct {
	RequestID string `json:"request_id"`
}

type wireEngineError struct {
	Error struct {
		Type string `json:"type"`
	} `json:"error"`
}

type wireToken struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	TokenIndex int `json:"token_index"`
}

const (
	headerKey          = "Idempotency-Key"
	headerRoute        = "Route"
	headerOrganisation = "Organisation"
	headerRequestID    = "Request-Id"
	headerKind         = "Kind"
	headerNotAdmitted  = "Not-Admitted"

	// engineNotAdmitted is the error type that proves that nothing started.
	engineNotAdmitted = "not_admitted"

	maxEventBytes = 1 << 20
	maxErrorBytes = 4 << 10
)

// complete runs the request at an engine and streams its tokens into the run's output.
func (e *Entry) complete(ctx context.Context, r *run, g grant, id string) attemptResult {
	c := newCall(g.endpoint.Address, "/v1/completions", e.settings.Timeouts)
	defer c.close()
	c.mayStart = func() bool { return r.session.mayStart(r) }
	c.request.Header.Set(headerKey, r.request.Key.String())
	c.request.Header.Set(headerRoute, string(r.request.Route))
	c.request.Header.Set(headerOrganisation, string(r.request.Key.Organisation))
	body, err := json.Marshal(wireCompletion{
		Model:     string(g.version),
		Prompt:    r.request.Prompt,
		MaxTokens: int(r.request.MaxTokens),
		Stream:    true,
		RequestID: id,
	})
	if err != nil {
		return attemptNotStarted{reason: "encode"}
	}
	c.request.SetBody(body)
	e.boundFirstToken(ctx, r, c)
	return e.stream(ctx, r, c)
}

const (
	// firstTokenShare is the part of a request's remaining time that one connection may take for its first token.
	firstTokenShare = 4
	// leastFirstToken bounds that time from below.
	leastFirstToken = time.Second
)

// boundFirstToken leaves time to ask again on a new connection when this one says nothing of the answer.
func (e *Entry) boundFirstToken(ctx context.Context, r *run, c *call) {
	from := r.output.length()
	c.began = func() bool { return r.output.length() > from }
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	share := max(time.Until(deadline)/firstTokenShare, leastFirstToken)
	c.firstByte = min(c.firstByte, share)
}

// resume reads the rest of a run that an engine still holds, and returns the answer's status, 0 for none.
func (e *Entry) resume(ctx context.Context, r *run, g grant, id string) (attemptResult, int) {
	c := newCall(g.endpoint.Address, "/v1/resume", e.settings.Timeouts)
	defer c.close()
	body, err := json.Marshal(wireResume{RequestID: id, From: r.output.length()})
	if err != nil {
		return attemptBroken{err: err}, 0
	}
	c.request.SetBody(body)
	e.boundFirstToken(ctx, r, c)
	result := e.stream(ctx, r, c)
	if _, answered := result.(attemptFailed); !answered {
		return result, 0
	}
	return result, c.response.StatusCode()
}

// cancelRun tells an engine that nobody waits for the run.
func (e *Entry) cancelRun(g grant, id string) {
	c := newCall(g.endpoint.Address, "/v1/cancel", e.settings.Timeouts)
	defer c.close()
	body, err := json.Marshal(wireCancel{RequestID: id})
	if err != nil {
		return
	}
	c.request.SetBody(body)
	if err := c.do(e.ctx); err != nil {
		e.log.Warn().Str("event", "cancel-failed").Str("endpoint", string(g.endpoint.ID)).Err(err).Msg("")
	}
}

func (e *Entry) stream(ctx context.Context, r *run, c *call) attemptResult {
	if err := c.do(ctx); err != nil {
		return unanswered(ctx, c, err)
	}
	switch status := c.response.StatusCode(); status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return refusedBy(c)
	case http.StatusNotFound:
		return attemptFailed{detail: "the engine does not know the run or the version"}
	default:
		return attemptFailed{detail: fmt.Sprintf("the engine answered status %d", status)}
	}
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	whole, err := readTokens(c.body(), r.output)
	if whole {
		return attemptWhole{}
	}
	if ctx.Err() != nil {
		return attemptCancelled{}
	}
	return attemptBroken{err: err}
}

// refusedBy judges a status 503: only one that says so proves that nothing started.
func refusedBy(c *call) attemptResult {
	var w wireEngineError
	text, err := io.ReadAll(io.LimitReader(c.body(), maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(text, &w)
	}
	if err == nil && w.Error.Type == engineNotAdmitted {
		return attemptNotStarted{reason: notAdmitted}
	}
	return attemptBroken{err: errUnproved}
}

// unanswered judges a call that got no answer's head.
func unanswered(ctx context.Context, c *call, err error) attemptResult {
	if !c.sent.Load() {
		return attemptNotStarted{reason: notConnected}
	}
	if ctx.Err() != nil {
		return attemptCancelled{}
	}
	return attemptBroken{err: err}
}

// readTokens puts the stream's tokens into the output and reports whether its end mark came.
func readTokens(body io.Reader, out *output) (bool, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return true, nil
		}
		var t wireToken
		if err := json.Unmarshal(data, &t); err != nil {
			return false, fmt.Errorf("decode token after %d: %w", out.length(), err)
		}
		if len(t.Choices) == 0 || t.Choices[0].FinishReason != nil {
			continue
		}
		if t.TokenIndex > out.length() {
			return false, fmt.Errorf("token %d came after %d", t.TokenIndex, out.length())
		}
		out.put(t.TokenIndex, t.Choices[0].Text)
	}
	return false, lines.Err()
}

func endOf(g grant) end {
	return end{version: g.version, endpoint: g.endpoint.ID}
}
