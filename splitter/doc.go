// Package splitter divides the new requests of a service between versions by count,
// so that the limit on a version's share holds across all hosts.
package splitter
