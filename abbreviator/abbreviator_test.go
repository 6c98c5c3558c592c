package abbreviator

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestTextsWithinTheLimitAreWhole(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "short", strings.Repeat("x", Limit)} {
		c.Assert(Text(text), qt.Equals, text)
	}
	err := fmt.Errorf("read: %w", io.ErrUnexpectedEOF)
	c.Assert(Error(err), qt.Equals, err)
	c.Assert(Error(nil), qt.IsNil)
}

func TestALongTextKeepsItsBeginningAndSize(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("x", 60<<10)
	got := Text(long)
	c.Assert(got, qt.Equals, strings.Repeat("x", Limit)+"... (61440 bytes)")
	c.Assert(Error(errors.New(long)), qt.ErrorMatches, `x+\.\.\. \(61440 bytes\)`)
}

// Whatever the bytes, a text of valid characters stays one.
func TestNoCharacterIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 2*Limit, 4*Limit).Draw(t, "text")
		short := Text(text)
		if !utf8.ValidString(short) || len(short) > Limit+len("... (4294967296 bytes)") {
			t.Fatalf("%q", short)
		}
	})
}
