package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/entry"
	"github.com/dotterelpulley/dotterelpulley/publisher"
)

const examples = "../../examples"

// tomlFiles returns all files below the folder; a file without the extension .toml fails the test.
func tomlFiles(c *qt.C, folder string) []string {
	var files []string
	err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			c.Check(filepath.Ext(path), qt.Equals, ".toml")
			files = append(files, path)
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	return files
}

func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	files := tomlFiles(c, examples)
	c.Assert(len(files) > 0, qt.IsTrue)
	for _, file := range files {
		flags := checkFlags{}
		if strings.HasPrefix(filepath.Base(file), "release-note") {
			flags.against = filepath.Join(filepath.Dir(file), "configuration.toml")
		}
		c.Check(checkFile(flags, file), qt.IsNil, qt.Commentf("file %s", file))
	}
}

func TestExamplesHaveExpectedSizes(t *testing.T) {
	for _, user := range []string{"pollulaotus", "swan-coastal"} {
		t.Run(user, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(examples, user, "configuration.toml")
			data, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			configuration, err := publisher.ParseConfiguration(file, data)
			c.Assert(err, qt.IsNil)
			c.Check(configuration.Services, qt.HasLen, 2)
			c.Check(configuration.Organisations, qt.HasLen, 5)
			for _, tier := range configuration.Tiers {
				c.Check(tier.DefaultDeadline > 0, qt.IsTrue)
			}
			for _, kind := range []string{"entry", "mover"} {
				hosts, err := filepath.Glob(filepath.Join(examples, user, kind+"-*.toml"))
				c.Assert(err, qt.IsNil)
				c.Check(hosts, qt.HasLen, 6)
			}
		})
	}
}

func TestDemonstrationNotesAreValid(t *testing.T) {
	c := qt.New(t)
	notes, err := filepath.Glob("../../scripts/demo.d/*-note.toml")
	c.Assert(err, qt.IsNil)
	c.Assert(notes, qt.HasLen, 2)
	for _, file := range notes {
		data, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		_, err = publisher.ParseNoteAlone(file, data, time.Now())
		c.Check(err, qt.IsNil)
	}
}

func TestExampleHostsShareNoAddress(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob(filepath.Join(examples, "*", "entry-*.toml"))
	c.Assert(err, qt.IsNil)
	fileByAddress := map[dotterelpulley.Address]string{}
	hostsByZone := map[dotterelpulley.ZoneID]int{}
	for _, file := range files {
		s, err := entry.LoadSettings(file)
		c.Assert(err, qt.IsNil)
		for _, a := range []dotterelpulley.Address{s.CallerAddress, s.OperatorAddress, s.PeerAddress} {
			c.Check(fileByAddress[a], qt.Equals, "", qt.Commentf("%s uses address %s of another file", file, a))
			fileByAddress[a] = file
		}
		hostsByZone[s.Zone]++
	}
	c.Check(hostsByZone, qt.HasLen, 6)
	for zone, n := range hostsByZone {
		c.Check(n, qt.Equals, 2, qt.Commentf("zone %s", zone))
	}
}
