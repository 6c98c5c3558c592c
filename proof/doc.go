// Package proof holds the tests of the whole system on real processes.
package proof
