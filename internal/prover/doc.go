// Package prover is the test harness for the real binaries: it runs them against in-process stand-ins with fault proxies
// in between, so that tests can check the stand-ins' ledgers and the bytes that callers receive.
package prover
