package loader

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
)

func TestValidator(t *testing.T) {
	shed := Refusal{Kind: dotterelpulley.ErrorShed, Truth: dotterelpulley.NotRun, RetryAfter: time.Second}
	ab := Expectation{Text: "ab", Chunks: 2, Known: true}
	tests := []struct {
		name   string
		expect Expectation
		events []Event
		want   Outcome
		fault  string
	}{
		{"complete", ab, []Event{Chunk{0, "a"}, Chunk{1, "b"}, End{Chunks: 2}}, OutcomeCompleted, ""},
		{"empty", Expectation{}, []Event{End{}}, OutcomeCompleted, ""},
		{"a chunk is missing", Expectation{}, []Event{Chunk{0, "a"}, Chunk{2, "c"}}, OutcomeWrong, "chunk 2 came .* 1 .*"},
		{"a chunk came twice", Expectation{}, []Event{Chunk{0, "a"}, Chunk{0, "a"}}, OutcomeWrong, "chunk 0 came .* 1 .*"},
		{"the last chunk is missing", Expectation{}, []Event{Chunk{0, "a"}, End{Chunks: 2}}, OutcomeWrong, "1 chunks .* 2"},
		{"shorter than expected", ab, []Event{Chunk{0, "a"}, End{Chunks: 1}}, OutcomeWrong, "1 chunks .* 2 were asked for"},
		{"different text", ab, []Event{Chunk{0, "a"}, Chunk{1, "x"}, End{Chunks: 2}}, OutcomeWrong, "2 bytes of text differ .*"},
		{"no end event", ab, []Event{Chunk{0, "a"}, Chunk{1, "b"}}, OutcomeTruncated, ".*without an end mark"},
		{"nothing", ab, nil, OutcomeTruncated, ".*without an end mark"},
		{"refused", ab, []Event{shed}, OutcomeRefused, ""},
		{"refused within the stream", ab, []Event{Chunk{0, "a"}, shed}, OutcomeRefused, ""},
		{"connection lost", ab, []Event{Chunk{0, "a"}, Failure{OutcomeTimedOut, "late"}}, OutcomeTimedOut, "late"},
		{"unstreamed", ab, []Event{Body{Output: "ab", Chunks: 2}}, OutcomeCompleted, ""},
		{"unstreamed and wrong", ab, []Event{Body{Output: "ax", Chunks: 2}}, OutcomeWrong, "2 bytes .*"},
		{"after the end", ab, []Event{Body{Output: "ab", Chunks: 2}, Failure{OutcomeTruncated, "late"}}, OutcomeCompleted, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			v := Validator{Expected: test.expect}
			for i, event := range test.events {
				v.Add(time.Duration(i+1)*time.Second, event)
			}
			got := v.Send()
			c.Check(got.Outcome, qt.Equals, test.want)
			c.Check(got.Fault, qt.Matches, test.fault)
		})
	}
}

func TestValidatorDetectsAnyDroppedEvent(t *testing.T) {
	checkProperty(t, func(c *qt.C, t *rapid.T) {
		texts := rapid.SliceOfN(rapid.StringN(1, 3, -1), 2, 20).Draw(t, "texts")
		var events []Event
		expect := Expectation{Chunks: len(texts), Known: true}
		for i, text := range texts {
			events = append(events, Chunk{Index: i, Text: text})
			expect.Text += text
		}
		events = append(events, End{Chunks: len(texts)})
		c.Assert(validate(expect, events).Outcome, qt.Equals, OutcomeCompleted)

		i := rapid.IntRange(0, len(events)-1).Draw(t, "dropped")
		dropped := append(append([]Event{}, events[:i]...), events[i+1:]...)
		c.Assert(validate(expect, dropped).Outcome, qt.Not(qt.Equals), OutcomeCompleted)
	})
}

func validate(expect Expectation, events []Event) Send {
	v := Validator{Expected: expect}
	for i, event := range events {
		v.Add(time.Duration(i+1)*time.Millisecond, event)
	}
	return v.Send()
}

func TestRetryNext(t *testing.T) {
	refused := func(kind dotterelpulley.ErrorKind, after time.Duration) Send {
		return Send{Outcome: OutcomeRefused, Refusal: Refusal{Kind: kind, RetryAfter: after}}
	}
	tests := []struct {
		name string
		last Send
		n    int
		wait time.Duration
		ok   bool
	}{
		{"complete", Send{Outcome: OutcomeCompleted}, 1, 0, false},
		{"wrong", Send{Outcome: OutcomeWrong}, 1, 0, false},
		{"unreachable", Send{Outcome: OutcomeUnreachable}, 1, initialBackoff, true},
		{"unreachable twice", Send{Outcome: OutcomeUnreachable}, 2, 2 * initialBackoff, true},
		{"cut", Send{Outcome: OutcomeTruncated}, 1, initialBackoff, true},
		{"the last send", Send{Outcome: OutcomeTruncated}, defaultMaxSends, 0, false},
		{"past the deadline", Send{Outcome: OutcomeTruncated, EndedAt: time.Minute}, 1, 0, false},
		{"shed", refused(dotterelpulley.ErrorShed, 2*time.Second), 1, 2 * time.Second, true},
		{"shed for longer than the deadline", refused(dotterelpulley.ErrorShed, 2*time.Minute), 1, 0, false},
		{"invalid", refused(dotterelpulley.ErrorInvalid, 0), 1, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			wait, ok := Retry{}.Next(test.last, test.n, time.Minute)
			c.Check(ok, qt.Equals, test.ok)
			c.Check(wait, qt.Equals, test.wait)
		})
	}
}
