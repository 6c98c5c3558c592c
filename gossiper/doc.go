// Package gossiper keeps the entry hosts' membership, the facts that only ever
// grow, their load and the newest records of the log, on a byte budget.
//
// Each round a host exchanges with one random peer; critical facts and new
// records go to a few random peers at once, and from there on. The gossiper is a
// pure state machine: the caller hands in messages and the time, and sends what
// it returns.
package gossiper
