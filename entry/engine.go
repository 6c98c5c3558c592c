package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

	// engineNotAdmitted is the error type by which an engine states that it did not start the run.
	engineNotAdmitted = "not_admitted"

	maxEventBytes = 1 << 20
	maxErrorBytes = 4 << 10
	// maxStreamBytes limits a stream with all that it holds beside its tokens, at a quarter of a KB for each of maxTokensLimit.
	maxStreamBytes = 32 << 20
)

// complete sends the request to an engine and copies the streamed tokens into the run's output.
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
	// firstTokenDivisor sets the limit on one connection's wait for its first token: the request's remaining time
	// divided by it.
	firstTokenDivisor = 4
	// minFirstTokenTimeout is the lower bound of that limit.
	minFirstTokenTimeout = time.Second
)

// boundFirstToken limits the wait for the first new token, which leaves time to retry on a new connection.
func (e *Entry) boundFirstToken(ctx context.Context, r *run, c *call) {
	received := r.output.length()
	c.answerStarted = func() bool { return r.output.length() > received }
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	limit := max(time.Until(deadline)/firstTokenDivisor, minFirstTokenTimeout)
	c.firstByte = min(c.firstByte, limit)
}

// resume reads the rest of a run that an engine still holds; the second result is the response status if the attempt
// failed, otherwise 0.
func (e *Entry) resume(ctx context.Context, r *run, g grant, id string) (attemptResult, int) {
	c := newCall(g.endpoint.Address, "/v1/resume", e.settings.Timeouts)
	defer c.close()
	body, err := json.Marshal(wireResume{RequestID: id, From: r.output.length()})
	if err != nil {
		return attemptInterrupted{err: err}, 0
	}
	c.request.SetBody(body)
	e.boundFirstToken(ctx, r, c)
	result := e.stream(ctx, r, c)
	if _, hasStatus := result.(attemptFailed); !hasStatus {
		return result, 0
	}
	return result, c.response.StatusCode()
}

// cancelRun cancels a run on an engine.
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
		return classifyNoResponse(ctx, c, err)
	}
	switch status := c.response.StatusCode(); status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return classifyUnavailable(c)
	case http.StatusNotFound:
		return attemptFailed{detail: "the engine does not know the run or the version"}
	default:
		return attemptFailed{detail: fmt.Sprintf("the engine answered status %d", status)}
	}
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	completed, err := readTokens(c.body(), r.output)
	if completed {
		return attemptCompleted{}
	}
	if ctx.Err() != nil {
		return attemptCancelled{}
	}
	return attemptInterrupted{err: err}
}

// classifyUnavailable classifies a response with status 503: only the not-admitted error proves that nothing started.
func classifyUnavailable(c *call) attemptResult {
	var w wireEngineError
	text, err := io.ReadAll(io.LimitReader(c.body(), maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(text, &w)
	}
	if err == nil && w.Error.Type == engineNotAdmitted {
		return attemptNotStarted{reason: reasonNotAdmitted}
	}
	return attemptInterrupted{err: errUnproved}
}

// classifyNoResponse classifies a call that received no response header.
func classifyNoResponse(ctx context.Context, c *call, err error) attemptResult {
	if !c.sent.Load() {
		return attemptNotStarted{reason: reasonNotConnected}
	}
	if ctx.Err() != nil {
		return attemptCancelled{}
	}
	return attemptInterrupted{err: err}
}

var errAnswerTooLarge = errors.New("the engine's answer exceeds the size limit")

// readTokens copies the stream's tokens into the output and reports whether the end marker was received.
func readTokens(body io.Reader, out *output) (bool, error) {
	limited := &io.LimitedReader{R: body, N: maxStreamBytes}
	size := 0
	lines := bufio.NewScanner(limited)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return true, nil
		}
		var token wireToken
		if err := json.Unmarshal(data, &token); err != nil {
			return false, fmt.Errorf("decode token after %d: %w", out.length(), err)
		}
		if len(token.Choices) == 0 || token.Choices[0].FinishReason != nil {
			continue
		}
		if token.TokenIndex > out.length() {
			return false, fmt.Errorf("token %d came after %d", token.TokenIndex, out.length())
		}
		if size += len(token.Choices[0].Text); size > maxAnswerBytes || token.TokenIndex >= maxTokensLimit {
			return false, errAnswerTooLarge
		}
		out.put(token.TokenIndex, token.Choices[0].Text)
	}
	if limited.N == 0 {
		return false, errAnswerTooLarge
	}
	return false, lines.Err()
}

func newAnswerEnd(g grant) answerEnd {
	return answerEnd{version: g.version, endpoint: g.endpoint.ID}
}
