package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	qt "github.com/frankban/quicktest"
)

var (
	inlineCode  = regexp.MustCompile("`([^`]+)`")
	placeholder = regexp.MustCompile(`[A-Z]+$`)
	kebabCase   = regexp.MustCompile(`^[a-z]+(-[a-z]+)+$`)
)

// row holds the cells of one table row.
type row []string

// name returns the inline code of the first cell.
func (r row) name() string {
	m := inlineCode.FindStringSubmatch(r[0])
	if m == nil {
		return ""
	}
	return m[1]
}

func readPage(c *qt.C, name string) string {
	data, err := os.ReadFile(filepath.Join("operators", name))
	c.Assert(err, qt.IsNil)
	return string(data)
}

// section returns the part of the page under the heading, up to the next heading of the same level.
func section(c *qt.C, page, heading string) string {
	_, after, found := strings.Cut(page, "\n## "+heading+"\n")
	c.Assert(found, qt.IsTrue, qt.Commentf("heading %q", heading))
	part, _, _ := strings.Cut(after, "\n## ")
	return part
}

// rows returns the table rows in the text whose first cell starts with inline code.
func rows(text string) []row {
	var found []row
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		var r row
		for _, cell := range strings.Split(strings.Trim(line, "|"), "|") {
			r = append(r, strings.TrimSpace(cell))
		}
		found = append(found, r)
	}
	return found
}

func names(found []row) []string {
	var all []string
	for _, r := range found {
		all = append(all, r.name())
	}
	return all
}

// checkSameNames checks that the page and the code contain the same names.
func checkSameNames(c *qt.C, page, code []string) {
	slices.Sort(page)
	slices.Sort(code)
	c.Check(slices.Compact(page), qt.DeepEquals, slices.Compact(code))
}

// withWildcard replaces a placeholder in capitals at the end of a name by "*".
func withWildcard(name string) string {
	return placeholder.ReplaceAllString(name, "*")
}
