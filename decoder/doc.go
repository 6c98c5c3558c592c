// Package decoder decodes TOML strictly: unknown keys are errors, and every error
// gives the file, the line and the key path.
package decoder
