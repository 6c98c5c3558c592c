package examples_test

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/entry"
)

func TestEntrySettings(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("*/entry-*.toml")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, 12)
	hosts := map[dotterelpulley.Address]string{}
	zones := map[dotterelpulley.ZoneID]int{}
	for _, file := range files {
		s, err := entry.LoadSettings(file)
		c.Assert(err, qt.IsNil)
		for _, a := range []dotterelpulley.Address{s.CallerAddress, s.OperatorAddress, s.PeerAddress} {
			c.Check(hosts[a], qt.Equals, "", qt.Commentf("%s and %s share %s", file, hosts[a], a))
			hosts[a] = file
		}
		zones[s.Zone]++
	}
	c.Check(zones, qt.HasLen, 6)
	for zone, n := range zones {
		c.Check(n, qt.Equals, 2, qt.Commentf("zone %s", zone))
	}
}
