// Package recorder defines the records of the configuration and moves streams,
// their codec, and the state machines that apply them: every reader of a stream
// reaches the same verdict on each record.
package recorder
