package decoder

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines tells on which line of a file each key stands.
type Lines struct {
	file string
	of   map[string]int
}

// Index returns the lines of every key of the TOML, which must be well formed.
func Index(name string, data []byte) Lines {
	x := indexer{lines: Lines{file: name, of: map[string]int{}}, tables: map[string]int{}}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x.lines
}

// Problem returns a problem with the key, on its own line or on that of the nearest key around it.
func (l Lines) Problem(key, detail string) Problem {
	return Problem{File: l.file, Line: l.line(key), Key: key, Detail: detail}
}

func (l Lines) line(key string) int {
	for key != "" {
		if line, ok := l.of[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return 1
}

type indexer struct {
	parser unstable.Parser
	lines  Lines
	// tables counts the elements of each array of tables.
	tables map[string]int
	// prefix is the path of the table that key-values belong to.
	prefix string
}

func (x *indexer) expression(node *unstable.Node) {
	if node.Kind == unstable.KeyValue {
		x.keyValue(x.prefix, node)
		return
	}
	x.prefix = x.path("", node.Key())
	x.mark(x.prefix, node)
	if node.Kind == unstable.ArrayTable {
		path := x.prefix
		x.prefix = fmt.Sprintf("%s[%d]", path, x.tables[path])
		x.tables[path]++
		x.mark(x.prefix, node)
	}
}

func (x *indexer) keyValue(prefix string, node *unstable.Node) {
	path := x.path(prefix, node.Key())
	x.mark(path, node)
	x.value(path, node.Value())
}

func (x *indexer) value(path string, value *unstable.Node) {
	if value.Kind == unstable.InlineTable {
		for it := value.Children(); it.Next(); {
			x.keyValue(path, it.Node())
		}
		return
	}
	if value.Kind != unstable.Array {
		return
	}
	for i, it := 0, value.Children(); it.Next(); i++ {
		x.value(fmt.Sprintf("%s[%d]", path, i), it.Node())
	}
}

// path joins the key's parts to the prefix; a part that names an array of tables means its newest element.
func (x *indexer) path(prefix string, key unstable.Iterator) string {
	path := prefix
	for key.Next() {
		if path != "" {
			if n := x.tables[path]; n > 0 && !strings.HasSuffix(path, "]") {
				path = fmt.Sprintf("%s[%d]", path, n-1)
			}
			path += "."
		}
		path += string(key.Node().Data)
	}
	return path
}

func (x *indexer) mark(path string, node *unstable.Node) {
	if _, known := x.lines.of[path]; known {
		return
	}
	key := node.Key()
	for key.Next() {
		raw := key.Node().Raw
		x.lines.of[path] = x.parser.Shape(raw).Start.Line
	}
}
