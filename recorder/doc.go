// Package recorder holds the records of the configuration and moves streams,
// their codec, and the folds by which every reader reaches the same verdict on
// each record.
package recorder
