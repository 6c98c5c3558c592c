package recorder

import (
	"fmt"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
)

// Verdict is what every reader decides on a record.
type Verdict struct {
	Offset   appender.Offset
	ID       RecordID
	Accepted bool
	Reason   string
	// LostTo is the record that won when two raced from the same base.
	LostTo RecordID
}

func accepted(at Place, env Envelope) Verdict {
	return Verdict{Offset: at.Offset, ID: env.ID, Accepted: true}
}

func refused(at Place, env Envelope, format string, args ...any) Verdict {
	return Verdict{Offset: at.Offset, ID: env.ID, Reason: fmt.Sprintf(format, args...)}
}

// VersionOf returns the build as endpoints name it; a plain service's is empty.
func VersionOf(build dotterelpulley.Build) dotterelpulley.VersionID {
	if build.Version == "" {
		return ""
	}
	return dotterelpulley.VersionID(build.String())
}
