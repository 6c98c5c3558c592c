package assessor

import (
	"encoding/json"
	"fmt"
)

// Report contains a host's evidence and the bad versions that it knows.
type Report struct {
	Evidence []*Evidence
	// BadVersions holds encoded records of bad versions.
	BadVersions [][]byte
}

type wireReport struct {
	Evidence json.RawMessage `json:"evidence"`
	Bad      [][]byte        `json:"bad"`
}

// EncodeReport returns the report as JSON.
func EncodeReport(r Report) ([]byte, error) {
	evidence, err := Encode(r.Evidence)
	if err != nil {
		return nil, fmt.Errorf("encode evidence: %w", err)
	}
	return json.Marshal(wireReport{Evidence: evidence, Bad: r.BadVersions})
}

// DecodeReport parses the report of one host.
func DecodeReport(data []byte) (Report, error) {
	var w wireReport
	if err := json.Unmarshal(data, &w); err != nil {
		return Report{}, fmt.Errorf("decode report: %w", err)
	}
	evidence, err := Decode(w.Evidence)
	return Report{Evidence: evidence, BadVersions: w.Bad}, err
}
