// Package gossiper replicates the entry hosts' membership and load, facts with
// increasing revisions and the newest records of the log, within a byte budget.
//
// In each round a host exchanges messages with one random peer. Critical facts
// and new records are sent immediately to a few random peers, which forward
// them. The gossiper is a pure state machine: the caller passes in messages and
// the time, and sends the messages that it returns.
package gossiper
