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

// key returns a UUIDv7 that is born at the arrival.
func (p *planner) key(at time.Duration) dotterelpulley.IdempotencyKey {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], p.random.Uint64())
	birth := uint64(p.Start.Add(at).UnixMilli())
	binary.BigEndian.PutUint64(id[:8], birth<<16|p.random.Uint64()&0xffff)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return dotterelpulley.IdempotencyKey(id.String())
}

// prompt fills in the parts of a request to a model: the route's template and the
// conversation's history come first, so that engines can reuse their prefix.
func (p *planner) prompt(a *Arrival, class Class) {
	conversation := p.random.IntN(conversations)
	turns := p.random.IntN(maxTurns + 1)
	a.Output = p.length(class)
	a.Request.MaxTokens = p.scaled(class.Longest)
	a.Request.Conversation = fmt.Sprintf("%s-%s-%d", a.Request.Key.Organisation, class.Route, conversation)
	var b strings.Builder
	b.WriteString(passage("template "+string(class.Route), templateBytes))
	for turn := range turns {
		b.WriteString(passage(fmt.Sprintf("%s turn %d", a.Request.Conversation, turn), historyBytes))
	}
	fmt.Fprintf(&b, "request %s len=%d", a.Request.Key.Idempotency, a.Output)
	a.Request.Prompt = b.String()
}

// length draws an output length, evenly on a logarithmic scale.
func (p *planner) length(class Class) dotterelpulley.Tokens {
	low := math.Log(float64(class.Shortest))
	high := math.Log(float64(class.Longest))
	drawn := math.Exp(low + p.random.Float64()*(high-low))
	return min(p.scaled(dotterelpulley.Tokens(math.Round(drawn))), p.scaled(class.Longest))
}

func (p *planner) scaled(n dotterelpulley.Tokens) dotterelpulley.Tokens {
	return max(1, dotterelpulley.Tokens(math.Round(float64(n)*p.LengthScale)))
}

// passage returns size bytes that repeat the subject.
func passage(subject string, size int) string {
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
