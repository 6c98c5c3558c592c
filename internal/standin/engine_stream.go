package standin

import (
	"bufio"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
)

// stream sends the job's tokens from the given one on, as they come.
func (e *Engine) stream(c fiber.Ctx, j *job, from int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.RequestCtx().Response.ImmediateHeaderFlush = !e.LateHead
	e.open.Add(1)
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.open.Done()
		defer e.leave(j)
		e.write(w, j, from)
	})
}

// leave notes that a reader has gone.
func (e *Engine) leave(j *job) {
	e.state.Lock()
	defer e.state.Unlock()
	j.readers--
	j.detached = time.Now()
}

// write sends tokens until the job ends or the reader has gone.
func (e *Engine) write(w *bufio.Writer, j *job, next int) {
	line := make([]byte, 0, 256)
	for {
		emitted, outcome, changed := e.watch(j)
		for ; next < emitted; next++ {
			line = appendToken(line[:0], j, next)
			if _, err := w.Write(line); err != nil {
				return
			}
		}
		if outcome == OutcomeWhole && next >= emitted {
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

// watch returns how far the job is, and what closes when it has moved on.
func (e *Engine) watch(j *job) (int, Outcome, <-chan struct{}) {
	e.state.Lock()
	defer e.state.Unlock()
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
	line = strconv.AppendInt(line, int64(j.total), 10)
	line = append(line, `,"completion_tokens":`...)
	line = strconv.AppendInt(line, int64(len(j.output)), 10)
	line = append(line, `,"cached_tokens":`...)
	line = strconv.AppendInt(line, int64(j.cached), 10)
	return append(line, "}}\n\ndata: [DONE]\n\n"...)
}

type wireAnswer struct {
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

// answer waits for the job's end and sends the whole output.
func (e *Engine) answer(c fiber.Ctx, j *job) error {
	defer e.leave(j)
	for {
		_, outcome, changed := e.watch(j)
		if outcome == OutcomeRunning {
			select {
			case <-changed:
				continue
			case <-e.done:
			}
		}
		if outcome != OutcomeWhole {
			return fail(c, fiber.StatusInternalServerError, "internal_error", "the run ended as "+string(outcome))
		}
		return c.JSON(wireAnswer{
			ID:      j.id,
			Choices: []wireChoice{{Text: strings.Join(j.output, ""), FinishReason: "stop"}},
			Usage:   wireUsage{PromptTokens: j.total, CompletionTokens: len(j.output), CachedTokens: j.cached},
		})
	}
}
