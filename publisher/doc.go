// Package publisher validates operators' files, converts them into records of the
// configuration stream, and reports the verdicts on those records.
package publisher
