package dispatcher_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/dispatcher"
)

func drawResult(t *rapid.T) dispatcher.Result {
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

// TestNoRetryElsewhereOnceRunMayHaveStarted feeds random results to a dispatcher.
func TestNoRetryElsewhereOnceRunMayHaveStarted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := dispatcher.Dispatcher{Resumable: rapid.Bool().Draw(t, "resumable")}
		started, chunks := false, 0
		const maxSteps = 100
		for range maxSteps {
			r := drawResult(t)
			if _, notStarted := r.(dispatcher.NotStarted); !notStarted {
				started = true
			}
			if started {
				chunks += rapid.IntRange(0, 1).Draw(t, "chunks")
			}
			switch action := d.Next(r, chunks).(type) {
			case dispatcher.RetryElsewhere:
				if started {
					t.Fatalf("retried elsewhere after the run may have started")
				}
			case dispatcher.Resume:
				if !d.Resumable {
					t.Fatalf("resumed a call that cannot be resumed")
				}
			case dispatcher.Finish:
				if _, completed := r.(dispatcher.Completed); !completed {
					t.Fatalf("finished after %T", r)
				}
				return
			case dispatcher.Fail:
				if started && action.Kind.Answer().Truth == dotterelpulley.NotRun {
					t.Fatalf("reported %s although the run may have started", action.Kind)
				}
				return
			}
		}
	})
}

func TestRequestsEnd(t *testing.T) {
	c := qt.New(t)
	for _, r := range []dispatcher.Result{dispatcher.NotStarted{}, dispatcher.Interrupted{}, dispatcher.Unreachable{}} {
		d := dispatcher.Dispatcher{Resumable: true}
		steps := 0
		for ; steps < 20; steps++ {
			if _, failed := d.Next(r, 0).(dispatcher.Fail); failed {
				break
			}
		}
		c.Check(steps < 20, qt.IsTrue, qt.Commentf("%T", r))
	}
}
