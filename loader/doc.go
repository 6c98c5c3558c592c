// Package loader sends a seeded, open-loop mix of requests to the entry hosts,
// validates every answer, and compares the answers with the ledgers of
// what the endpoints ran.
//
// The plan of arrivals, the validator, the retry rule and the report are pure;
// only the runner uses sockets and a clock.
package loader
