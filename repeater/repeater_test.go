package repeater_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley/repeater"
)

func TestEveryEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		calls := 0
		repeater.Every(ctx, time.Second, func() { calls++ })
		qt.Check(t, calls, qt.Equals, 4)
	})
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		repeater.Sleep(t.Context(), time.Second)
		qt.Check(t, time.Since(startedAt), qt.Equals, time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		repeater.Sleep(ctx, time.Hour)
		qt.Check(t, time.Since(startedAt), qt.Equals, 2*time.Second)
	})
}
