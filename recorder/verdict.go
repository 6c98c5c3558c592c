package recorder

import (
	"fmt"

	"github.com/dotterelpulley/dotterelpulley"
	"github.com/dotterelpulley/dotterelpulley/appender"
)

// Verdict is the decision on a record; every reader reaches the same one.
type Verdict struct {
	Offset   appender.Offset
	ID       RecordID
	Accepted bool
	Reason   string
	// LostTo is the record that was accepted instead when two writers raced from the same base.
	LostTo RecordID
}

func accepted(at Position, env Envelope) Verdict {
	return Verdict{Offset: at.Offset, ID: env.ID, Accepted: true}
}

func refused(at Position, env Envelope, format string, args ...any) Verdict {
	return Verdict{Offset: at.Offset, ID: env.ID, Reason: fmt.Sprintf(format, args...)}
}

// VersionOf returns the version id that endpoints use for the build; it is empty for a plain service.
func VersionOf(build dotterelpulley.Build) dotterelpulley.VersionID {
	if build.Version == "" {
		return ""
	}
	return dotterelpulley.VersionID(build.String())
}
