package entry

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRemovedServiceIsRefusedForNewKeys checks that a key that ran before the removal still gets its answer.
func TestRemovedServiceIsRefusedForNewKeys(t *testing.T) {
	f := newFleet(t, 2, nil)
	first := f.plan(0, "letter-1", "works letter len=3")
	f.publish(`
[[services]]
id = "another-pool"
kind = "model"
model = "draft"
version = "1"
`)
	for host := range f.entries {
		f.Check(f.plan(host, "letter-1", "works letter len=3"), qt.Equals, first)
		status, text := f.send(host, "letter-2", "works letter len=3", "")
		f.Check(status, qt.Equals, http.StatusNotFound)
		f.Check(string(text), qt.Contains, `"error":"unknown-service","truth":"not-run"`)
	}
	f.Check(f.engine.Ledger.Runs(), qt.HasLen, 1)
}
