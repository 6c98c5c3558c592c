package docs_test

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/entry"
)

func TestErrorsPage(t *testing.T) {
	c := qt.New(t)
	var page, code []string
	for _, r := range rows(readPage(c, "errors.md")) {
		c.Assert(len(r) >= 5, qt.IsTrue, qt.Commentf("row %q", r))
		page = append(page, strings.Join(r[:4], " "))
		c.Check(r[4], qt.Not(qt.Equals), "", qt.Commentf("%s: what to do", r.name()))
	}
	for _, kind := range dotterelpulley.ErrorKinds() {
		a := kind.Answer()
		after := "–"
		if a.RetryAfter > 0 {
			after = a.RetryAfter.Truncate(time.Second).String()
		}
		code = append(code, strings.Join([]string{"`" + a.Name + "`", strconv.Itoa(a.Status), a.Truth.String(), after}, " "))
	}
	checkSameNames(c, page, code)
}

var fileFormats = []struct {
	heading string
	dir     string
	root    string
}{
	{"Entry host", "entry", "wireSettings"},
	{"Mover", "mover", "wireSettings"},
	{"Configuration", "publisher", "wireConfiguration"},
	{"Release note", "publisher", "wireNote"},
}

func TestSettingsPage(t *testing.T) {
	page := readPage(qt.New(t), "settings.md")
	for _, format := range fileFormats {
		t.Run(format.heading, func(t *testing.T) {
			c := qt.New(t)
			checkSameNames(c, names(rows(section(c, page, format.heading))), tomlKeys(c, format.dir, format.root))
		})
	}
}

// TestSettingsDefaults checks that setting every documented default explicitly gives the same settings of an entry host.
func TestSettingsDefaults(t *testing.T) {
	c := qt.New(t)
	required := `host = "h"
zone = "z"
caller-address = "127.0.0.1:1"
operator-address = "127.0.0.1:2"
peer-address = "127.0.0.1:3"
log-address = "127.0.0.1:4"
host-list-address = "127.0.0.1:5"
`
	explicit := required
	for _, r := range rows(section(c, readPage(c, "settings.md"), "Entry host")) {
		value := r[1]
		if value == "required" || value == "" {
			continue
		}
		if _, err := time.ParseDuration(value); err == nil {
			value = strconv.Quote(value)
		}
		explicit += r.name() + " = " + value + "\n"
	}
	c.Check(loadSettings(c, explicit), qt.DeepEquals, loadSettings(c, required))
}

func loadSettings(c *qt.C, text string) entry.Settings {
	path := filepath.Join(c.TempDir(), "settings.toml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	s, err := entry.LoadSettings(path)
	c.Assert(err, qt.IsNil)
	return s
}

// operatorDirs returns the package folders without the stand-ins and the load tool, which no operator runs.
func operatorDirs(c *qt.C) []string {
	return slices.DeleteFunc(packageDirs(c), func(dir string) bool {
		return strings.HasPrefix(dir, "internal") || strings.HasPrefix(dir, "cmd/dotterel-load")
	})
}

func allCounters(c *qt.C) []string {
	var code []string
	for _, dir := range operatorDirs(c) {
		code = append(code, counters(c, dir)...)
	}
	return code
}

func TestCountersPage(t *testing.T) {
	c := qt.New(t)
	var page []string
	for _, name := range names(rows(readPage(c, "counters.md"))) {
		page = append(page, withWildcard(name))
	}
	checkSameNames(c, page, allCounters(c))
}

func TestCommandsPage(t *testing.T) {
	c := qt.New(t)
	checkSameNames(c, names(rows(readPage(c, "commands.md"))), commands(c))
}

// TestNamesInPages checks that every kebab-case name and every command in the pages' inline code exists.
func TestNamesInPages(t *testing.T) {
	c := qt.New(t)
	known := map[string]bool{}
	for _, kind := range dotterelpulley.ErrorKinds() {
		known[kind.String()] = true
	}
	for _, truth := range []dotterelpulley.Truth{dotterelpulley.NotRun, dotterelpulley.OutcomeUnknown, dotterelpulley.RanAndFailed} {
		known[truth.String()] = true
	}
	for _, format := range fileFormats {
		for _, key := range tomlKeys(c, format.dir, format.root) {
			known[key] = true
		}
	}
	for _, name := range append(allCounters(c), commands(c)...) {
		known[name] = true
	}
	for _, dir := range operatorDirs(c) {
		for _, name := range events(c, dir) {
			known[name] = true
		}
	}
	pages, err := filepath.Glob("operators/*.md")
	c.Assert(err, qt.IsNil)
	for _, page := range pages {
		for _, m := range inlineCode.FindAllStringSubmatch(readPage(c, filepath.Base(page)), -1) {
			checkName(c, known, filepath.Base(page), m[1])
		}
	}
}

func checkName(c *qt.C, known map[string]bool, page, name string) {
	if words := strings.Fields(name); strings.HasPrefix(name, "dotterelctl") || strings.HasPrefix(name, "dotterel-") {
		command := strings.Join(words[:min(2, len(words))], " ")
		c.Check(known[command] || known[words[0]] && len(words) == 1, qt.IsTrue, qt.Commentf("command %q in %s", name, page))
		return
	}
	if kebabCase.MatchString(name) {
		c.Check(known[name], qt.IsTrue, qt.Commentf("name %q in %s", name, page))
	}
}
