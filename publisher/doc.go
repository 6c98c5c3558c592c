// Package publisher checks operators' files, turns them into records of the
// configuration stream, and tells what became of them.
package publisher
