// Package slurper reads whole bodies and answers up to a limit, beyond which they are an error rather than cut.
package slurper
