// Package decoder reads TOML strictly: every error names the file, the line and
// the key path, and unknown keys are refused.
package decoder
