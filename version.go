package dotterelpulley

import "strings"

// ModelID names a model.
type ModelID string

// AdapterID names an adapter that is loaded beside a model; the empty id means none.
type AdapterID string

// VersionID names one version of what a service runs.
type VersionID string

// Generation names a generation of hardware.
type Generation string

// Build is what a version runs: a model and, if any, an adapter.
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
