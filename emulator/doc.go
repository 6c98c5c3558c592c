// Package emulator simulates entry hosts and model engines in virtual time. It
// runs the naive and the real routing decisions with the same seed and reports how
// each handled the same requests.
package emulator
