// Package assessor compares a new version with the old one by outcomes and
// latencies, within cells of the same route, tier, hardware generation and load.
// It uses sequential tests with a defined false alarm rate.
package assessor
