// Package follower replicates the state of the configuration and moves streams of the log:
// the configuration, release notes, version shares and bad versions in force.
//
// Records may arrive from the log or from peers, in any order and more than once;
// the state only moves forward.
package follower
