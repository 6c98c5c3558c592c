// Package loader sends a seeded, open-loop mix of requests to the entry hosts,
// judges every answer whole, and holds the answers against the ledgers of what
// the endpoints ran.
//
// The plan of arrivals, the judge, the retry rule and the report are pure; the
// runner is the only part that has sockets and a clock.
package loader
