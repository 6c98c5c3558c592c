package dotterelpulley

import "strings"

// ModelID identifies a model.
type ModelID string

// AdapterID identifies an adapter that is loaded with a model; empty means none.
type AdapterID string

// VersionID identifies one version of a service's build.
type VersionID string

// Generation identifies a hardware generation.
type Generation string

// Build is a version with its model and, optionally, its adapter.
type Build struct {
	Version VersionID
	Model   ModelID
	Adapter AdapterID
}

// String returns the build as "model+adapter@version".
func (b Build) String() string {
	var s strings.Builder
	s.WriteString(string(b.Model))
	if b.Adapter != "" {
		s.WriteString("+" + string(b.Adapter))
	}
	return s.String() + "@" + string(b.Version)
}
