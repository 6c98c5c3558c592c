package slurper

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) {
	return len(b), nil
}

// A body that is cut at the limit must not pass for a whole one.
func TestABodyBeyondItsLimitIsAnError(t *testing.T) {
	c := qt.New(t)
	data, err := ReadAll(strings.NewReader("body"), 4)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, "body")
	_, err = ReadAll(strings.NewReader("body"), 3)
	c.Assert(err, qt.Equals, ErrTooLarge)
	_, err = ReadAll(endless{}, 1<<20)
	c.Assert(err, qt.Equals, ErrTooLarge)
}
