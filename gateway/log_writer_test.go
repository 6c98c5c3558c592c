package gateway

import (
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

func (o *blockedOutput) Write(line []byte) (int, error) {
	<-o.released
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(line)
}

// The lines of a request's second endpoint were dropped with others when too many came.
func TestAFloodOfLinesDropsNoWarning(t *testing.T) {
	c := qt.New(t)
	output := &blockedOutput{released: make(chan struct{})}
	w := NewLogWriter(output)
	logger := log.Logger{Level: log.InfoLevel, Writer: w}
	for range 2 * logBufferLines {
		logger.Info().Msg("refused")
	}
	logger.Warn().Msg("next-try")
	close(output.released)
	c.Assert(w.Close(), qt.IsNil)
	c.Assert(strings.Count(output.text.String(), "next-try"), qt.Equals, 1)
	c.Assert(strings.Count(output.text.String(), "refused") < 2*logBufferLines, qt.IsTrue)
}

func TestALogWriterWithoutLinesCloses(t *testing.T) {
	c := qt.New(t)
	c.Assert(NewLogWriter(&strings.Builder{}).Close(), qt.IsNil)
}
