// Package follower folds the configuration and moves streams of the log into
// what is in force: configuration, release notes, version shares, bad versions.
//
// Records come from the log or from peers, in any order and more than once;
// what is in force only ever advances.
package follower
