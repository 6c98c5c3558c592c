package entry

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

// TestEveryHostAnswersEveryKey sends keys to a host that holds some of them and forwards the others.
func TestEveryHostAnswersEveryKey(t *testing.T) {
	for name, change := range map[string]func(*fleet, *Settings){"clear text": nil, "certificates": secureFleet} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, change)
			sent := 0
			for f.entries[0].counters.Get("forwarded") == 0 || sent < 8 {
				prompt := fmt.Sprintf("door card %d len=12", sent)
				answer := f.plan(0, fmt.Sprintf("key-%d", sent), prompt)
				f.Check(answer.Output, qt.Equals, strings.Join(standin.Output(prompt, defaultMaxTokens), ""))
				sent++
			}
			f.Check(standin.DuplicateKeys(f.engine.Ledger.Runs()), qt.HasLen, 0)
			f.Check(f.engine.Ledger.Runs(), qt.HasLen, sent)
		})
	}
}

// TestResendToAnotherHostGetsTheSameRun sends each key to both hosts in turn.
func TestResendToAnotherHostGetsTheSameRun(t *testing.T) {
	f := newFleet(t, 2, nil)
	for i := range 8 {
		key := fmt.Sprintf("key-%d", i)
		prompt := key + " len=6"
		first := f.plan(0, key, prompt)
		second := f.plan(1, key, prompt)
		f.Check(second, qt.Equals, first)
	}
	f.Check(f.engine.Ledger.Runs(), qt.HasLen, 8)
}

// TestSingleHostHoldsEveryKey checks that a single host serves every key without forwarding.
func TestSingleHostHoldsEveryKey(t *testing.T) {
	f := newFleet(t, 1, nil)
	for i := range 8 {
		f.plan(0, fmt.Sprintf("key-%d", i), "door card len=2")
	}
	f.Check(f.entries[0].counters.Get("forwarded"), qt.Equals, int64(0))
	f.Check(f.engine.Ledger.Runs(), qt.HasLen, 8)
}
