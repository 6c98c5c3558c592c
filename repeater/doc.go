// Package repeater repeats and pauses work until a process ends.
package repeater
