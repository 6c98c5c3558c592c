// Package slurper reads whole bodies up to a limit, beyond which they are an error rather than cut.
package slurper
