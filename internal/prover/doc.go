// Package prover runs the real binaries beside in-process stand-ins, with fault
// proxies between them, for tests that judge by ledgers and by callers' bytes.
package prover
