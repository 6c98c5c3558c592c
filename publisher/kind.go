package publisher

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// FileKind is the kind of an operator's file.
type FileKind int

// The kinds of file.
const (
	FileSettings FileKind = iota
	FileConfiguration
	FileNote
)

var fileKindNames = [...]string{"settings", "configuration", "release-note"}

// String returns the kind's name as used on the command line.
func (k FileKind) String() string {
	return fileKindNames[k]
}

// ParseFileKind returns the file kind with the given name.
func ParseFileKind(name string) (FileKind, error) {
	for k, known := range fileKindNames {
		if known == name {
			return FileKind(k), nil
		}
	}
	return 0, fmt.Errorf("file kind %q is none of %q", name, fileKindNames)
}

// GuessFileKind returns the file kind that the top-level keys suggest, or FileSettings if none does.
func GuessFileKind(data []byte) FileKind {
	var top map[string]any
	if err := toml.Unmarshal(data, &top); err != nil {
		return FileSettings
	}
	for _, row := range []struct {
		kind FileKind
		keys []string
	}{
		{FileNote, []string{"changes", "canary-share", "watch"}},
		{FileConfiguration, []string{"services", "organisations", "tiers"}},
	} {
		for _, key := range row.keys {
			if _, ok := top[key]; ok {
				return row.kind
			}
		}
	}
	return FileSettings
}
