package dispatcher_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/dispatcher"
)

func draw(t *rapid.T) dispatcher.Result {
	return rapid.SampledFrom([]dispatcher.Result{
		dispatcher.Completed{},
		dispatcher.NotStarted{},
		dispatcher.Interrupted{},
		dispatcher.Unreachable{},
		dispatcher.RunNotFound{},
		dispatcher.Failed{},
		dispatcher.Cancelled{},
	}).Draw(t, "result")
}

// TestNothingIsSentElsewhereOnceItMayHaveStarted feeds random results to a dispatcher.
func TestNothingIsSentElsewhereOnceItMayHaveStarted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := dispatcher.Dispatcher{Resumable: rapid.Bool().Draw(t, "resumable")}
		started, chunks := false, 0
		const enough = 100
		for range enough {
			r := draw(t)
			if _, no := r.(dispatcher.NotStarted); !no {
				started = true
			}
			if started {
				chunks += rapid.IntRange(0, 1).Draw(t, "chunks")
			}
			switch s := d.Next(r, chunks).(type) {
			case dispatcher.RetryElsewhere:
				if started {
					t.Fatalf("sent elsewhere after it may have started")
				}
			case dispatcher.Resume:
				if !d.Resumable {
					t.Fatalf("a call that can't be resumed was sent again")
				}
			case dispatcher.Finish:
				if _, whole := r.(dispatcher.Completed); !whole {
					t.Fatalf("finished after %T", r)
				}
				return
			case dispatcher.Fail:
				if started && s.Kind.Answer().Truth == dotterelpulley.NotRun {
					t.Fatalf("said %s of what may have started", s.Kind)
				}
				return
			}
		}
	})
}

func TestLivesEnd(t *testing.T) {
	c := qt.New(t)
	for _, r := range []dispatcher.Result{dispatcher.NotStarted{}, dispatcher.Interrupted{}, dispatcher.Unreachable{}} {
		d := dispatcher.Dispatcher{Resumable: true}
		steps := 0
		for ; steps < 20; steps++ {
			if _, over := d.Next(r, 0).(dispatcher.Fail); over {
				break
			}
		}
		c.Check(steps < 20, qt.IsTrue, qt.Commentf("%T", r))
	}
}
