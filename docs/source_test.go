package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"

	qt "github.com/frankban/quicktest"
)

const repository = ".."

// parseDir parses the files of one package, without its tests.
func parseDir(c *qt.C, dir string) []*ast.File {
	paths, err := filepath.Glob(filepath.Join(repository, dir, "*.go"))
	c.Assert(err, qt.IsNil)
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		c.Assert(err, qt.IsNil)
		files = append(files, file)
	}
	return files
}

// packageDirs returns every folder of the repository except hidden ones and tools.
func packageDirs(c *qt.C) []string {
	var dirs []string
	err := filepath.WalkDir(repository, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.IsDir() {
			return err
		}
		if name := d.Name(); strings.HasPrefix(name, ".") && name != ".." || name == "tools" {
			return filepath.SkipDir
		}
		dir, err := filepath.Rel(repository, path)
		dirs = append(dirs, dir)
		return err
	})
	c.Assert(err, qt.IsNil)
	return dirs
}

// tomlKeys returns the key paths of the wire struct: "a.b" for tables, "a[].b" for
// arrays of tables and "a.NAME.b" for tables with user-defined names.
func tomlKeys(c *qt.C, dir, root string) []string {
	structs := map[string]*ast.StructType{}
	for _, file := range parseDir(c, dir) {
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				if s, ok := spec.Type.(*ast.StructType); ok {
					structs[spec.Name.Name] = s
				}
			}
			return true
		})
	}
	c.Assert(structs[root], qt.IsNotNil, qt.Commentf("type %s in %s", root, dir))
	return structKeys(structs, structs[root], "")
}

func structKeys(structs map[string]*ast.StructType, s *ast.StructType, prefix string) []string {
	var keys []string
	for _, field := range s.Fields.List {
		if field.Tag == nil {
			continue
		}
		raw, err := strconv.Unquote(field.Tag.Value)
		if err != nil {
			continue
		}
		key, _, _ := strings.Cut(reflect.StructTag(raw).Get("toml"), ",")
		if key == "" {
			continue
		}
		element, suffix := elementType(field.Type)
		if nested := structs[element]; nested != nil {
			keys = append(keys, structKeys(structs, nested, prefix+key+suffix+".")...)
			continue
		}
		keys = append(keys, prefix+key)
	}
	return keys
}

// elementType returns the name of the type within pointers, slices and maps, and the key path suffix that they add.
func elementType(t ast.Expr) (name, suffix string) {
	switch t := t.(type) {
	case *ast.Ident:
		return t.Name, ""
	case *ast.StarExpr:
		return elementType(t.X)
	case *ast.ArrayType:
		name, suffix = elementType(t.Elt)
		return name, "[]" + suffix
	case *ast.MapType:
		name, suffix = elementType(t.Value)
		return name, ".NAME" + suffix
	}
	return "", ""
}

// counters returns the names of the counters that the package increments; a computed suffix becomes "*".
func counters(c *qt.C, dir string) []string {
	files := parseDir(c, dir)
	constants := stringConstants(files)
	var names []string
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || method.Sel.Name != "Inc" && method.Sel.Name != "Add" {
				return true
			}
			if name := stringValue(call.Args[0], constants); name != "" {
				names = append(names, name)
			}
			return true
		})
	}
	return names
}

// events returns the names of the package's log events.
func events(c *qt.C, dir string) []string {
	var names []string
	for _, file := range parseDir(c, dir) {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) != 2 {
				return true
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if ok && method.Sel.Name == "Str" && stringValue(call.Args[0], nil) == "event" {
				names = append(names, stringValue(call.Args[1], nil))
			}
			return true
		})
	}
	return names
}

func stringConstants(files []*ast.File) map[string]string {
	found := map[string]string{}
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			for i, name := range spec.Names {
				if i < len(spec.Values) {
					if value := stringValue(spec.Values[i], nil); value != "" {
						found[name.Name] = value
					}
				}
			}
			return true
		})
	}
	return found
}

func stringValue(e ast.Expr, constants map[string]string) string {
	switch e := e.(type) {
	case *ast.BasicLit:
		if e.Kind == token.STRING {
			value, _ := strconv.Unquote(e.Value)
			return value
		}
	case *ast.Ident:
		return constants[e.Name]
	case *ast.BinaryExpr:
		left := stringValue(e.X, constants)
		if left == "" {
			return ""
		}
		return strings.TrimSuffix(left, "*") + "*"
	}
	return ""
}

// commands returns the binaries and their subcommands, such as "dotterelctl check".
func commands(c *qt.C) []string {
	var found []string
	binaries, err := os.ReadDir(filepath.Join(repository, "cmd"))
	c.Assert(err, qt.IsNil)
	for _, binary := range binaries {
		found = append(found, binary.Name())
		for _, file := range parseDir(c, filepath.Join("cmd", binary.Name())) {
			ast.Inspect(file, func(n ast.Node) bool {
				field, ok := n.(*ast.KeyValueExpr)
				if !ok {
					return true
				}
				key, ok := field.Key.(*ast.Ident)
				if !ok || key.Name != "Use" {
					return true
				}
				subcommand, _, _ := strings.Cut(stringValue(field.Value, nil), " ")
				if subcommand != "" && subcommand != binary.Name() {
					found = append(found, binary.Name()+" "+subcommand)
				}
				return true
			})
		}
	}
	return found
}
