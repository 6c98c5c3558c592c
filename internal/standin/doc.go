// Package standin simulates the platform and the endpoints for tests and
// demonstrations: log service, host list, weight store, engines and plain
// services. Faults can be injected into each, and endpoints keep a ledger of their runs.
//
// POST /standin/faults takes a JSON object; fields that are absent change nothing:
//
//	all           down, delay, lose-answers (of the next n POST calls; -1 for all), silence
//	log           damage {stream, offset}
//	host list     lag; PUT /standin/hosts sets a host, or removes it with "remove": true
//	engine        crash, crash-on, crash-return, slow-factor, leaving, lying-load,
//	              not-admitted, report-lag, versions (as in the file of a set)
//	plain service crash, crash-on, crash-return, call-time, not-admitted, leaving
//
// The control address of a set accepts the same objects at /standin/ID/faults, even
// while the stand-in is down; the IDs of the log, host list and weight store are log,
// host-list and weight-store. GET /standin/ledger there returns the runs of all endpoints.
package standin
