// Package simulator simulates moves in virtual time from a seed. Entry hosts, engines and the log are models; the
// decisions are those of the real packages or, for comparison, of a naive mover.
package simulator
