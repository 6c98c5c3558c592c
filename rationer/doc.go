// Package rationer enforces usage caps of organisations across all hosts.
//
// Each host counts what it admits and reports it to its peers. Rationer is a pure
// state machine: its inputs are these counts and the time.
package rationer
