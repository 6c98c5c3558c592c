// Package assessor judges a new version against the old one from outcomes and
// latencies, compared within cells of the same route, tier, generation of
// hardware and load, by sequential tests with a stated false-alarm rate.
package assessor
