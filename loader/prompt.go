package loader

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/dotterelpulley/dotterelpulley"
)

const (
	templateBytes = 1024
	historyBytes  = 512
	maxTurns      = 6
)

// newKey returns a UUIDv7 whose timestamp is the time of the arrival.
func (p *planner) newKey(at time.Duration) dotterelpulley.IdempotencyKey {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], p.random.Uint64())
	createdAt := uint64(p.Start.Add(at).UnixMilli())
	binary.BigEndian.PutUint64(id[:8], createdAt<<16|p.random.Uint64()&0xffff)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return dotterelpulley.IdempotencyKey(id.String())
}

// setModelFields sets the model fields of a request. The route's template and the conversation's
// history come first, so that engines can reuse the cached prefix.
func (p *planner) setModelFields(a *Arrival, class Class) {
	conversation := p.random.IntN(conversationCount)
	turns := p.random.IntN(maxTurns + 1)
	a.OutputTokens = p.drawOutputTokens(class)
	a.Request.MaxTokens = p.scaled(class.MaxOutput)
	a.Request.Conversation = fmt.Sprintf("%s-%s-%d", a.Request.Key.Organisation, class.Route, conversation)
	var b strings.Builder
	b.WriteString(repeatedText("template "+string(class.Route), templateBytes))
	for turn := range turns {
		b.WriteString(repeatedText(fmt.Sprintf("%s turn %d", a.Request.Conversation, turn), historyBytes))
	}
	fmt.Fprintf(&b, "request %s len=%d", a.Request.Key.Idempotency, a.OutputTokens)
	a.Request.Prompt = b.String()
}

// drawOutputTokens returns a random output length, uniform on a logarithmic scale.
func (p *planner) drawOutputTokens(class Class) dotterelpulley.Tokens {
	minLog := math.Log(float64(class.MinOutput))
	maxLog := math.Log(float64(class.MaxOutput))
	drawn := math.Exp(minLog + p.random.Float64()*(maxLog-minLog))
	return min(p.scaled(dotterelpulley.Tokens(math.Round(drawn))), p.scaled(class.MaxOutput))
}

func (p *planner) scaled(n dotterelpulley.Tokens) dotterelpulley.Tokens {
	return max(1, dotterelpulley.Tokens(math.Round(float64(n)*p.LengthScale)))
}

// repeatedText returns size bytes of the repeated subject.
func repeatedText(subject string, size int) string {
	line := subject + "; "
	return strings.Repeat(line, size/len(line)+1)[:size]
}

func payload(key dotterelpulley.Key) []byte {
	data, err := json.Marshal(wirePayload{Reference: string(key.Idempotency)})
	if err != nil {
		panic(fmt.Sprintf("encode payload of strings: %v", err))
	}
	return data
}
