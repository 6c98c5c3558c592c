package standin

import (
	"bufio"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
)

// stream sends the job's tokens from the given index on, as they are generated.
func (e *Engine) stream(c fiber.Ctx, j *job, from int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.RequestCtx().Response.ImmediateHeaderFlush = !e.LateHead
	e.open.Add(1)
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.open.Done()
		defer e.detachReader(j)
		e.writeTokens(w, j, from)
	})
}

// detachReader removes a reader from the job.
func (e *Engine) detachReader(j *job) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	j.readers--
	j.detachedAt = time.Now()
}

// writeTokens sends tokens until the job ends or the connection is closed.
func (e *Engine) writeTokens(w *bufio.Writer, j *job, next int) {
	line := make([]byte, 0, 256)
	for {
		emitted, outcome, changed := e.jobProgress(j)
		for ; next < emitted; next++ {
			line = appendToken(line[:0], j, next)
			if _, err := w.Write(line); err != nil {
				return
			}
		}
		if outcome == OutcomeCompleted && next >= emitted {
			line = appendEnd(line[:0], j)
			_, _ = w.Write(line)
		}
		if w.Flush() != nil || outcome != OutcomeRunning {
			return
		}
		select {
		case <-changed:
		case <-e.done:
			return
		}
	}
}

// jobProgress returns the number of emitted tokens, the outcome, and a channel that is closed at the next change.
func (e *Engine) jobProgress(j *job) (int, Outcome, <-chan struct{}) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return j.emitted, j.outcome, j.changed
}

func appendToken(line []byte, j *job, i int) []byte {
	line = append(line, `data: {"id":`...)
	line = strconv.AppendQuote(line, j.id)
	line = append(line, `,"choices":[{"index":0,"text":`...)
	line = strconv.AppendQuote(line, j.output[i])
	line = append(line, `,"finish_reason":null}],"token_index":`...)
	line = strconv.AppendInt(line, int64(i), 10)
	return append(line, "}\n\n"...)
}

func appendEnd(line []byte, j *job) []byte {
	line = append(line, `data: {"id":`...)
	line = strconv.AppendQuote(line, j.id)
	line = append(line, `,"choices":[{"index":0,"text":"","finish_reason":"stop"}],"token_index":`...)
	line = strconv.AppendInt(line, int64(len(j.output)), 10)
	line = append(line, `,"usage":{"prompt_tokens":`...)
	line = strconv.AppendInt(line, int64(j.promptTokens), 10)
	line = append(line, `,"completion_tokens":`...)
	line = strconv.AppendInt(line, int64(len(j.output)), 10)
	line = append(line, `,"cached_tokens":`...)
	line = strconv.AppendInt(line, int64(j.cachedTokens), 10)
	return append(line, "}}\n\ndata: [DONE]\n\n"...)
}

type wireCompletionResponse struct {
	ID      string       `json:"id"`
	Choices []wireChoice `json:"choices"`
	Usage   wireUsage    `json:"usage"`
}

type wireChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// respond waits for the job's end and sends the complete output.
func (e *Engine) respond(c fiber.Ctx, j *job) error {
	defer e.detachReader(j)
	for {
		_, outcome, changed := e.jobProgress(j)
		if outcome == OutcomeRunning {
			select {
			case <-changed:
				continue
			case <-e.done:
			}
		}
		if outcome != OutcomeCompleted {
			return sendError(c, fiber.StatusInternalServerError, "internal_error", "the run ended as "+string(outcome))
		}
		return c.JSON(wireCompletionResponse{
			ID:      j.id,
			Choices: []wireChoice{{Text: strings.Join(j.output, ""), FinishReason: "stop"}},
			Usage:   wireUsage{PromptTokens: j.promptTokens, CompletionTokens: len(j.output), CachedTokens: j.cachedTokens},
		})
	}
}
