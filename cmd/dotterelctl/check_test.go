package main

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The first line of each bad file is "# LINE KEY: what the error says, as a regular expression".
var expectation = regexp.MustCompile(`^# (\d+) (\S*): (.*)$`)

func TestEveryBadFileIsRefusedWithItsLine(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("../../testdata/bad/*.toml")
	c.Assert(err, qt.IsNil)
	c.Assert(len(files) >= 20, qt.IsTrue, qt.Commentf("%d files", len(files)))
	for _, file := range files {
		c.Run(filepath.Base(file), func(c *qt.C) {
			want := expectation.FindStringSubmatch(firstLine(c, file))
			c.Assert(want, qt.HasLen, 4)
			err := checkFile(flagsFor(file), file)
			c.Assert(err, qt.IsNotNil)
			where := regexp.QuoteMeta(file + ":" + want[1] + ": ")
			if want[2] != "" {
				where += regexp.QuoteMeta(want[2] + ": ")
			}
			c.Check(err, qt.ErrorMatches, `(?s)(.*\n)?`+where+want[3]+`(\n.*)?`)
		})
	}
}

// Files that begin with "against-" are checked against the configuration of the same folder.
func flagsFor(file string) checkFlags {
	var flags checkFlags
	if strings.HasPrefix(filepath.Base(file), "against-") {
		flags.against = "../../testdata/configuration.toml"
	}
	return flags
}

func firstLine(c *qt.C, file string) string {
	f, err := os.Open(file)
	c.Assert(err, qt.IsNil)
	defer func() { _ = f.Close() }()
	scanner := bufio.NewScanner(f)
	c.Assert(scanner.Scan(), qt.IsTrue)
	return scanner.Text()
}
