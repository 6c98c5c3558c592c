package decoder

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps each key of a file to its line.
type Lines struct {
	file  string
	byKey map[string]int
}

// IndexLines returns the line of every key in the TOML, which must be valid.
func IndexLines(name string, data []byte) Lines {
	x := indexer{lines: Lines{file: name, byKey: map[string]int{}}, tableCounts: map[string]int{}}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		x.expression(x.parser.Expression())
	}
	return x.lines
}

// Problem returns a problem at the line of the key, or at the line of its nearest enclosing key if it is absent.
func (l Lines) Problem(key, detail string) Problem {
	return Problem{File: l.file, Line: l.line(key), Key: key, Detail: detail}
}

func (l Lines) line(key string) int {
	for key != "" {
		if line, ok := l.byKey[key]; ok {
			return line
		}
		end := strings.LastIndexAny(key, ".[")
		if end < 0 {
			break
		}
		key = key[:end]
	}
	return 1
}

type indexer struct {
	parser unstable.Parser
	lines  Lines
	// tableCounts is the number of elements seen so far in each array of tables.
	tableCounts map[string]int
	// prefix is the path of the current table, to which the next key-values belong.
	prefix string
}

func (x *indexer) expression(node *unstable.Node) {
	if node.Kind == unstable.KeyValue {
		x.keyValue(x.prefix, node)
		return
	}
	x.prefix = x.path("", node.Key())
	x.record(x.prefix, node)
	if node.Kind == unstable.ArrayTable {
		path := x.prefix
		x.prefix = fmt.Sprintf("%s[%d]", path, x.tableCounts[path])
		x.tableCounts[path]++
		x.record(x.prefix, node)
	}
}

func (x *indexer) keyValue(prefix string, node *unstable.Node) {
	path := x.path(prefix, node.Key())
	x.record(path, node)
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

// path appends the key's parts to the prefix; an array of tables on the way stands for its last element, as TOML defines.
func (x *indexer) path(prefix string, key unstable.Iterator) string {
	path := prefix
	for key.Next() {
		if path != "" {
			if n := x.tableCounts[path]; n > 0 && !strings.HasSuffix(path, "]") {
				path = fmt.Sprintf("%s[%d]", path, n-1)
			}
			path += "."
		}
		path += string(key.Node().Data)
	}
	return path
}

func (x *indexer) record(path string, node *unstable.Node) {
	if _, found := x.lines.byKey[path]; found {
		return
	}
	key := node.Key()
	for key.Next() {
		raw := key.Node().Raw
		x.lines.byKey[path] = x.parser.Shape(raw).Start.Line
	}
}
