// Package relayer lets a few hosts, the readers, read the platform's store and
// relay its contents to the other hosts.
//
// It selects the readers and tracks changes for hosts that follow them. Each
// response states the age of its data, so that a host that does not read the
// store itself can tell how current its configuration is.
package relayer
