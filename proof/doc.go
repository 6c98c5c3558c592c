// Package proof holds the end-to-end tests, which run the whole system as real processes.
package proof
