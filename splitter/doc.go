// Package splitter divides a service's new requests between versions by count,
// so that the bound on a version's share holds over all hosts together.
package splitter
