package standin_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/internal/standin"
)

const (
	model    = "kaasik-lm@1"
	fastStep = time.Millisecond
	slowStep = 20 * time.Millisecond
)

func newEngine(c *qt.C, change func(*standin.Engine)) (*standin.Engine, *caller) {
	e := &standin.Engine{ID: "e1", Versions: []string{model}, Step: fastStep, ReportLag: time.Millisecond}
	if change != nil {
		change(e)
	}
	start(c, e)
	return e, newCaller(c)
}

func request(id, text string) completion {
	return completion{Model: model, Prompt: text, Stream: true, RequestID: id}
}

func countRuns(e *standin.Engine, outcome standin.Outcome) int {
	n := 0
	for _, r := range e.Ledger.Runs() {
		if r.Outcome == outcome {
			n++
		}
	}
	return n
}

func TestOutputLengthAndPrefix(t *testing.T) {
	c := qt.New(t)
	shortest, longest := 1<<30, 0
	for i := range 2000 {
		n := len(standin.Output(fmt.Sprint("prompt ", i), 0))
		shortest = min(shortest, n)
		longest = max(longest, n)
	}
	c.Assert(shortest >= 8 && longest <= 800 && longest >= 50*shortest, qt.IsTrue)
	c.Assert(standin.Output(prompt("a", 12), 0), qt.HasLen, 12)
	c.Assert(standin.Output(prompt("a", 12), 5), qt.DeepEquals, standin.Output(prompt("a", 12), 0)[:5])
}

func TestEngineStreamsTheCompleteOutput(t *testing.T) {
	c := qt.New(t)
	e, caller := newEngine(c, nil)
	text := prompt(strings.Repeat("x", 600), 30)
	first := caller.open(e.Address(), "/v1/completions", request("r1", text)).rest()
	c.Assert(first.completed, qt.IsTrue)
	c.Assert(first.tokens, qt.DeepEquals, standin.Output(text, 0))
	second := caller.open(e.Address(), "/v1/completions", request("r2", text)).rest()
	c.Assert(second.cached, qt.Equals, 512/4)
	status, body := caller.call(http.MethodPost, e.Address(), "/v1/completions", completion{Model: model, Prompt: text, RequestID: "r3"})
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Contains, strings.Join(standin.Output(text, 0), ""))

	ledger := e.Ledger.Runs()
	c.Assert(ledger, qt.HasLen, 3)
	c.Assert(ledger[0].Digest, qt.Equals, standin.Digest(first.tokens))
	c.Assert(ledger[0].Tokens, qt.Equals, 30)
	c.Assert(standin.DuplicateKeys(ledger), qt.DeepEquals, []string{"test/key"})
	var wire json.RawMessage
	caller.get(e.Address(), "/standin/ledger", &wire)
	decoded, err := standin.DecodeLedger(wire)
	c.Assert(err, qt.IsNil)
	c.Assert(decoded[0].Digest, qt.Equals, ledger[0].Digest)
	var events struct {
		Events []struct{ Kind string }
		Next   int64
	}
	caller.get(e.Address(), "/v1/cache_events?since=1", &events)
	c.Assert(events.Events, qt.HasLen, 2)
	c.Assert(events.Next, qt.Equals, int64(3))
}

func TestRunContinuesAfterItsConnectionBreaks(t *testing.T) {
	c := qt.New(t)
	e, caller := newEngine(c, func(e *standin.Engine) { e.Step = 5 * time.Millisecond })
	text := prompt("resume", 60)
	s := caller.open(e.Address(), "/v1/completions", request("r1", text))
	c.Assert(s.next(), qt.IsTrue)
	c.Assert(s.next(), qt.IsTrue)
	c.Assert(s.body.Close(), qt.IsNil)
	rest := caller.open(e.Address(), "/v1/resume", map[string]any{"request_id": "r1", "from": 2}).rest()
	c.Assert(rest.completed, qt.IsTrue)
	c.Assert(rest.tokens, qt.DeepEquals, standin.Output(text, 0)[2:])
	c.Assert(e.Ledger.Runs(), qt.HasLen, 1)
	status, _ := caller.call(http.MethodPost, e.Address(), "/v1/resume", map[string]any{"request_id": "r2", "from": 0})
	c.Assert(status, qt.Equals, http.StatusNotFound)
}

func TestRunIsAbortedUnlessResumed(t *testing.T) {
	c := qt.New(t)
	e, caller := newEngine(c, func(e *standin.Engine) { e.Grace = time.Millisecond })
	s := caller.open(e.Address(), "/v1/completions", request("r1", prompt("cut", 100000)))
	c.Assert(s.next(), qt.IsTrue)
	c.Assert(s.body.Close(), qt.IsNil)
	eventually(t, "the run is aborted", func() bool { return countRuns(e, standin.OutcomeAborted) == 1 })
	c.Assert(e.Ledger.Runs()[0].WastedPrefill() > 0, qt.IsTrue)
}

func TestCancelEndsARun(t *testing.T) {
	c := qt.New(t)
	e, caller := newEngine(c, nil)
	s := caller.open(e.Address(), "/v1/completions", request("r1", prompt("cancel", 100000)))
	c.Assert(s.next(), qt.IsTrue)
	status, _ := caller.call(http.MethodPost, e.Address(), "/v1/cancel", map[string]any{"request_id": "r1"})
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(s.rest().completed, qt.IsFalse)
	c.Assert(countRuns(e, standin.OutcomeCancelled), qt.Equals, 1)
}

func TestRunMovesToAnotherEngine(t *testing.T) {
	c := qt.New(t)
	from, caller := newEngine(c, nil)
	to, _ := newEngine(c, nil)
	text := prompt("move", 2000)
	s := caller.open(from.Address(), "/v1/completions", request("r1", text))
	c.Assert(s.next(), qt.IsTrue)
	status, kv := caller.call(http.MethodPost, from.Address(), "/v1/kv/export", map[string]any{"request_id": "r1"})
	c.Assert(status, qt.Equals, http.StatusOK)
	s.rest()
	c.Assert(s.completed, qt.IsFalse)
	var next struct{ Next int }
	status, body := caller.call(http.MethodPost, to.Address(), "/v1/kv/import", json.RawMessage(kv))
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(json.Unmarshal([]byte(body), &next), qt.IsNil)
	rest := caller.open(to.Address(), "/v1/resume", map[string]any{"request_id": "r1", "from": len(s.tokens)}).rest()
	c.Assert(next.Next >= len(s.tokens), qt.IsTrue)
	c.Assert(append(s.tokens, rest.tokens...), qt.DeepEquals, standin.Output(text, 0))
	all := append(from.Ledger.Runs(), to.Ledger.Runs()...)
	c.Assert(standin.DuplicateKeys(all), qt.HasLen, 0)
}

func TestCrashingPromptCrashesTheEngine(t *testing.T) {
	c := qt.New(t)
	e, caller := newEngine(c, func(e *standin.Engine) { e.CrashOn("boom", time.Millisecond) })
	other := caller.open(e.Address(), "/v1/completions", request("r1", prompt("other", 100000)))
	c.Assert(other.next(), qt.IsTrue)
	crashing, err := caller.send(http.MethodPost, e.Address(), "/v1/completions", request("r2", prompt("boom", 10)))
	if err == nil {
		_ = crashing.Body.Close()
	}
	c.Assert(other.rest().completed, qt.IsFalse)
	eventually(t, "both runs are in the ledger", func() bool { return countRuns(e, standin.OutcomeCrashed) == 2 })
	eventually(t, "the engine has restarted", func() bool {
		resp, err := caller.send(http.MethodGet, e.Address(), "/v1/load", nil)
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
	c.Assert(e.Crashes(), qt.Equals, 1)
}

func TestSilentConnectionsStaySilentAndNewOnesWork(t *testing.T) {
	c := qt.New(t)
	e, caller := newEngine(c, func(e *standin.Engine) { e.Step = slowStep })
	s := caller.open(e.Address(), "/v1/completions", request("r1", prompt("silent", 40)))
	c.Assert(s.next(), qt.IsTrue)
	c.Assert(e.SilenceConnections() >= 1, qt.IsTrue)
	rest := newCaller(c).open(e.Address(), "/v1/resume", map[string]any{"request_id": "r1", "from": 0}).rest()
	c.Assert(rest.completed, qt.IsTrue)
	ended := make(chan struct{})
	go func() {
		s.rest()
		close(ended)
	}()
	select {
	case <-ended:
		c.Error("the silenced connection was closed")
	case <-time.After(10 * slowStep):
	}
	c.Assert(s.body.Close(), qt.IsNil)
	<-ended
}

func TestVersionBehaviours(t *testing.T) {
	long := prompt("long", 100000)
	for _, test := range []struct {
		name      string
		behaviour standin.Behaviour
		before    int
		running   int
		good      bool
	}{
		{name: "good", good: true},
		{name: "bad at once", behaviour: standin.Behaviour{Trigger: standin.AtOnce{}}},
		{name: "bad later, before", behaviour: standin.Behaviour{Trigger: standin.AfterRequests{Count: 3}}, before: 2, good: true},
		{name: "bad later, after", behaviour: standin.Behaviour{Trigger: standin.AfterRequests{Count: 2}}, before: 2},
		{name: "bad after a time", behaviour: standin.Behaviour{Trigger: standin.AfterTime{}}, before: 0},
		{name: "bad under load, without", behaviour: standin.Behaviour{Trigger: standin.UnderLoad{Running: 2}}, running: 1, good: true},
		{name: "bad under load, with", behaviour: standin.Behaviour{Trigger: standin.UnderLoad{Running: 2}}, running: 2},
		{name: "bad on another route", behaviour: standin.Behaviour{Trigger: standin.OnRoute{Route: "door-card"}}, good: true},
		{name: "bad on the route", behaviour: standin.Behaviour{Trigger: standin.OnRoute{Route: "season-plan"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			e, caller := newEngine(c, func(e *standin.Engine) {
				e.Behaviours = map[string]standin.Behaviour{model: test.behaviour}
			})
			for i := range test.before {
				caller.open(e.Address(), "/v1/completions", request(fmt.Sprint("b", i), prompt("short", 1))).rest()
			}
			for i := range test.running {
				c.Assert(caller.open(e.Address(), "/v1/completions", request(fmt.Sprint("l", i), long)).next(), qt.IsTrue)
			}
			status, _ := caller.call(http.MethodPost, e.Address(), "/v1/completions", request("r", prompt("short", 2)))
			c.Assert(status == http.StatusOK, qt.Equals, test.good)
			c.Assert(countRuns(e, standin.OutcomeFailed) == 0, qt.Equals, test.good)
		})
	}
}

func TestLoadReport(t *testing.T) {
	c := qt.New(t)
	e, caller := newEngine(c, func(e *standin.Engine) { e.Slots = 1 })
	type load struct {
		Running, Waiting, Slots int
		Leaving                 bool
		Versions                []string
	}
	for i := range 3 {
		s := caller.open(e.Address(), "/v1/completions", request(fmt.Sprint("r", i), prompt("load", 100000)))
		c.Assert(i > 0 || s.next(), qt.IsTrue)
	}
	reports := func(want load) func() bool {
		return func() bool {
			var l load
			caller.get(e.Address(), "/v1/load", &l)
			return fmt.Sprint(l) == fmt.Sprint(want)
		}
	}
	eventually(t, "the load is reported", reports(load{Running: 1, Waiting: 2, Slots: 1, Versions: []string{model}}))
	e.ReportLeaving()
	eventually(t, "leaving is reported", reports(load{Running: 1, Waiting: 2, Slots: 1, Versions: []string{model}, Leaving: true}))
	e.ReportIdle()
	eventually(t, "the engine reports that it is idle", reports(load{Slots: 1, Versions: []string{model}, Leaving: true}))
}

func TestOrders(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprint("checks fence ", checksFence), func(t *testing.T) {
			c := qt.New(t)
			store := &standin.Weights{Rate: 10, Versions: []string{"kaasik-lm@2"}}
			start(c, store)
			e, caller := newEngine(c, func(e *standin.Engine) {
				e.ChecksFence = checksFence
				e.WeightStore = store.Address()
			})
			order := func(fence int, id, version string) int {
				want := map[string]any{"versions": []string{version}, "role": "both"}
				status, _ := caller.call(http.MethodPost, e.Address(), "/v1/orders", map[string]any{"fence": fence, "order_id": id, "want": want})
				return status
			}
			state := func(want string) func() bool {
				return func() bool {
					var now struct{ State string }
					caller.get(e.Address(), "/v1/orders", &now)
					return now.State == want
				}
			}
			status, _ := caller.call(http.MethodGet, store.Address(), "/v1/weights/kaasik-lm@2", nil)
			c.Assert(status, qt.Equals, http.StatusOK)
			c.Assert(order(2, "a", "kaasik-lm@2"), qt.Equals, http.StatusAccepted)
			c.Assert(order(2, "a", "kaasik-lm@2"), qt.Equals, http.StatusAccepted)
			eventually(t, "the version is loaded despite the store's rate limit", state("done"))
			c.Assert(e.Loaded(), qt.DeepEquals, []string{"kaasik-lm@2"})
			c.Assert(e.Orders(), qt.HasLen, 1)
			status, body := caller.call(http.MethodPost, e.Address(), "/v1/completions", request("r", "old version"))
			c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(body, qt.Contains, "not_admitted")
			staleStatus := http.StatusAccepted
			if checksFence {
				staleStatus = http.StatusConflict
			}
			c.Assert(order(1, "b", model), qt.Equals, staleStatus)
			c.Assert(order(3, "c", "unknown@9"), qt.Equals, http.StatusAccepted)
			eventually(t, "the order of the unknown version fails", state("failed"))
		})
	}
}

func TestManyStreamsAtOnce(t *testing.T) {
	c := qt.New(t)
	e, caller := newEngine(c, nil)
	var open []*stream
	for i := range 30 {
		open = append(open, caller.open(e.Address(), "/v1/completions", request(fmt.Sprint("r", i), prompt(fmt.Sprint(i), 50))))
	}
	for i, s := range open {
		c.Assert(s.rest().tokens, qt.DeepEquals, standin.Output(prompt(fmt.Sprint(i), 50), 0))
	}
	c.Assert(countRuns(e, standin.OutcomeCompleted), qt.Equals, 30)
}
