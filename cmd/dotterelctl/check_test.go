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

// The first line of each bad file is "# LINE KEY: PATTERN", where PATTERN is a regular expression for the error detail.
var expectation = regexp.MustCompile(`^# (\d+) (\S*): (.*)$`)

func TestBadFilesAreRejectedWithLineAndKey(t *testing.T) {
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
			location := regexp.QuoteMeta(file + ":" + want[1] + ": ")
			if want[2] != "" {
				location += regexp.QuoteMeta(want[2] + ": ")
			}
			c.Check(err, qt.ErrorMatches, `(?s)(.*\n)?`+location+want[3]+`(\n.*)?`)
		})
	}
}

// flagsFor returns the flags to check the file with; a file whose name begins with "against-" is checked against the test configuration.
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
