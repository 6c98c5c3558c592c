package gateway

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"

	"github.com/dotterelpulley/dotterelpulley/repeater"
)

// restartDelay is the delay before a loop that panicked runs again.
const restartDelay = 100 * time.Millisecond

// supervise runs a loop until it returns, and again after a panic: an unexpected message must neither end the process nor
// leave it running without the loop.
func (g *Gateway) supervise(name string, loop func()) {
	g.goroutines.Go(func() {
		for !g.runLoop(name, loop) && g.ctx.Err() == nil {
			repeater.Sleep(g.ctx, restartDelay)
		}
	})
}

// runLoop runs the loop and reports whether it returned without a panic.
func (g *Gateway) runLoop(name string, loop func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			g.metrics.Inc("panics")
			g.event(log.ErrorLevel, "panic").Str("loop", name).Str("cause", fmt.Sprint(cause)).Str("stack", string(debug.Stack())).Msg("")
		}
	}()
	loop()
	return true
}
