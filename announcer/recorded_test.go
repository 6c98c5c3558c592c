package announcer

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/internal/fields"
)

// recorded returns a digest as the build of a landing wrote it.
func recorded(c *qt.C, landing string) []byte {
	text, err := os.ReadFile(filepath.Join("testdata", "digests", landing+".hex"))
	c.Assert(err, qt.IsNil)
	b, err := hex.DecodeString(strings.TrimSpace(string(text)))
	c.Assert(err, qt.IsNil)
	return b
}

// recordedLandings are the landings whose digests are written as today, the oldest first.
var recordedLandings = []string{"9dca8b7", "164c83d", "e9e7562", "de590f6", "f885380"}

func TestDigestsOfEarlierLandingsAreRead(t *testing.T) {
	c := qt.New(t)
	for _, landing := range append([]string{"549a487"}, recordedLandings...) {
		oldest := 30 * time.Millisecond
		if landing == "549a487" {
			oldest = 0
		}
		message, err := Decode(recorded(c, landing))
		c.Assert(err, qt.IsNil)
		d := message.(Digest)
		comment := qt.Commentf(landing)
		c.Check(d.Unreadable, qt.HasLen, 0, comment)
		c.Check(d.Usage, qt.DeepEquals, map[dotterelpulley.OrganisationID]float64{"org-1": 12345}, comment)
		c.Check(d.Waiting, qt.DeepEquals, []Waiting{{Service: 8, Priority: 1, Rank: 2, Count: 4, Oldest: oldest}}, comment)
		c.Check(d.Loads, qt.DeepEquals, []Load{{Key: 5, Running: 2, PromptTokens: 300}}, comment)
		c.Check(d.Configuration, qt.Equals, int64(12), comment)
	}
}

// What this build writes must stay what the last landing reads.
func TestDigestsAreWrittenAsTheLastLandingDid(t *testing.T) {
	c := qt.New(t)
	for at, landing := range recordedLandings {
		b := recorded(c, landing)
		message, err := Decode(b)
		c.Assert(err, qt.IsNil)
		c.Check(message.(Digest).TellsRequests, qt.Equals, at >= slices.Index(recordedLandings, "de590f6"), qt.Commentf(landing))
		counted := time.Duration(0)
		if landing == "f885380" {
			counted = 3 * time.Second
		}
		c.Check(message.(Digest).Counted, qt.Equals, counted, qt.Commentf(landing))
		c.Check(fieldsOf(c, message.Encode()), qt.DeepEquals, fieldsOf(c, b), qt.Commentf(landing))
	}
}

// fieldsOf returns the encoded fields of a message in a fixed order.
func fieldsOf(c *qt.C, b []byte) []string {
	var parts []string
	for len(b) > 0 {
		_, _, size := protowire.ConsumeField(b)
		c.Assert(size > 0, qt.IsTrue)
		parts = append(parts, hex.EncodeToString(b[:size]))
		b = b[size:]
	}
	slices.Sort(parts)
	return parts
}

func TestAnUnreadablePartCostsNoOther(t *testing.T) {
	c := qt.New(t)
	for name, part := range map[string][]byte{
		"load cut":                   appendNumbers(nil, fieldLoad, 5),
		"waiting cut":                appendNumbers(nil, fieldWaiting, 5, 1),
		"usage cut":                  fields.AppendBytes(nil, fieldUsage, []byte("1234")),
		"usage of no organisation":   fields.AppendBytes(nil, fieldUsage, []byte("\x00\x00\x00\x00\x00\x1c\xc8\x40")),
		"usage of an unprintable id": fields.AppendBytes(nil, fieldUsage, []byte("\x00\x00\x00\x00\x00\x1c\xc8\x40\xff\xfe")),
		"usage of no number":         fields.AppendBytes(nil, fieldUsage, []byte("\x00\x00\x00\x00\x00\x00\xf8\x7forg")),
	} {
		whole := Digest{Host: Host{ID: "a"}, Loads: []Load{{Key: 1, Running: 1}}, Usage: map[dotterelpulley.OrganisationID]float64{"org": 5}}
		message, err := Decode(append(whole.Encode(), part...))
		c.Assert(err, qt.IsNil, qt.Commentf(name))
		d := message.(Digest)
		c.Check(d.Unreadable, qt.HasLen, 1, qt.Commentf(name))
		d.Unreadable = nil
		c.Check(d.Loads, qt.DeepEquals, whole.Loads, qt.Commentf(name))
		c.Check(d.Usage, qt.DeepEquals, whole.Usage, qt.Commentf(name))
	}
}
