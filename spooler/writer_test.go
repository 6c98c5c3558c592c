package spooler

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
)

// blockedOutput takes lines once it is released.
type blockedOutput struct {
	released chan struct{}
	mutex    sync.Mutex
	text     strings.Builder
}

func (o *blockedOutput) Write(lines []byte) (int, error) {
	<-o.released
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(lines)
}

// events returns how often each event was written; every line must be a JSON object.
func (o *blockedOutput) events(c *qt.C) map[string]int {
	counts := map[string]int{}
	for line := range strings.Lines(o.text.String()) {
		var fields struct{ Event string }
		c.Assert(json.Unmarshal([]byte(line), &fields), qt.IsNil, qt.Commentf("%.200s", line))
		counts[fields.Event]++
	}
	return counts
}

// The lines of a request's second endpoint were dropped with others when too many came.
func TestAFloodOfLinesDropsNoWarning(t *testing.T) {
	c := qt.New(t)
	output := &blockedOutput{released: make(chan struct{})}
	w := &Writer{Output: output}
	logger := log.Logger{Level: log.InfoLevel, Writer: w}
	for w.Dropped() == 0 {
		logger.Info().Str("event", "refused").Msg("")
	}
	logger.Warn().Str("event", "next-try").Msg("")
	close(output.released)
	c.Assert(w.Close(), qt.IsNil)
	events := output.events(c)
	c.Assert(events["next-try"], qt.Equals, 1)
	c.Assert(events["refused"] > 0, qt.IsTrue)
}

// Lines of 300 KB filled the memory, as the buffers were limited by a number of lines.
func TestLongLinesFillTheMemoryBehindABlockedOutput(t *testing.T) {
	c := qt.New(t)
	output := &blockedOutput{released: make(chan struct{})}
	w := &Writer{Output: output}
	logger := log.Logger{Level: log.InfoLevel, Writer: w}
	for _, size := range []int{300 << 10, maxLineBytes - 1000} {
		junk := strings.Repeat("\x01", size/6)
		for range 200 {
			logger.Warn().Str("event", "try-ended").Str("error", junk).Msg("")
			logger.Info().Str("event", "answered").Str("request", junk).Msg("")
		}
	}
	for _, s := range []*spool{&w.lines, &w.warnings} {
		s.mutex.Lock()
		c.Check(len(s.lines) <= maxSpoolBytes, qt.IsTrue)
		c.Check(cap(s.lines) <= 2*maxSpoolBytes, qt.IsTrue, qt.Commentf("%d", cap(s.lines)))
		s.mutex.Unlock()
	}
	close(output.released)
	c.Assert(w.Close(), qt.IsNil)
	for line := range strings.Lines(output.text.String()) {
		c.Assert(len(line) <= maxLineBytes, qt.IsTrue)
	}
	c.Assert(output.events(c)["log-line-too-long"] > 0, qt.IsTrue)
}

// An operator must see that lines are missing.
func TestDroppedLinesAreReportedOnceThereIsRoom(t *testing.T) {
	c := qt.New(t)
	output := &blockedOutput{released: make(chan struct{})}
	w := &Writer{Output: output}
	logger := log.Logger{Level: log.InfoLevel, Writer: w}
	for w.Dropped() < 3 {
		logger.Info().Str("event", "answered").Msg("")
	}
	dropped := w.Dropped()
	logger.Warn().Str("event", "next-try").Msg("")
	close(output.released)
	c.Assert(w.Close(), qt.IsNil)
	c.Assert(w.unreported.Load(), qt.Equals, int64(0))
	c.Assert(output.events(c)["log-lines-dropped"], qt.Equals, 1)
	c.Assert(output.text.String(), qt.Contains, fmt.Sprintf(`"lines":%d`, dropped))
}

// A line after the end of the log ended the process.
func TestALineAfterTheEndIsDropped(t *testing.T) {
	c := qt.New(t)
	var output strings.Builder
	w := &Writer{Output: &output}
	c.Assert(w.Close(), qt.IsNil)
	logger := log.Logger{Level: log.InfoLevel, Writer: w}
	logger.Info().Msg("late")
	c.Assert(w.Dropped(), qt.Equals, int64(1))
	c.Assert(output.String(), qt.Equals, "")
	c.Assert(w.Close(), qt.IsNil)
}

func TestAWriterWithoutLinesCloses(t *testing.T) {
	c := qt.New(t)
	c.Assert((&Writer{Output: &strings.Builder{}}).Close(), qt.IsNil)
	var discarding Writer
	logger := log.Logger{Level: log.InfoLevel, Writer: &discarding}
	logger.Info().Msg("")
	c.Assert(discarding.Close(), qt.IsNil)
	c.Assert(discarding.Dropped(), qt.Equals, int64(0))
}

// Bytes that JSON doesn't allow made lines unreadable for the tools that read logs.
func TestControlCharactersLeaveALineReadable(t *testing.T) {
	c := qt.New(t)
	output := &blockedOutput{released: make(chan struct{})}
	close(output.released)
	w := &Writer{Output: output}
	logger := log.Logger{Level: log.InfoLevel, Writer: w}
	logger.Info().Str("event", "refused").Str("request", "a\x01\x00\x1f\n\xff").Msg("")
	c.Assert(w.Close(), qt.IsNil)
	c.Assert(output.events(c), qt.DeepEquals, map[string]int{"refused": 1})
}
