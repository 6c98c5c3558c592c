// Package standin stands in for the platform and the endpoints in tests and
// demonstrations: log service, host list, weight store, engines and plain
// services, each with faults on order and a ledger of what ran.
//
// POST /standin/faults takes a JSON object; what is absent stays as it is:
//
//	all           down, delay, lose-answers (of the next n POST calls; -1 for all), silence
//	log           damage {stream, offset}
//	host list     lag; PUT /standin/hosts sets a host, or removes it with "remove": true
//	engine        crash, crash-on, crash-return, slow-factor, leaving, lying-load,
//	              not-admitted, report-lag, versions (as in the file of a set)
//	plain service crash, crash-on, crash-return, call-time, not-admitted, leaving
//
// The control address of a set takes the same at /standin/ID/faults, also while
// the stand-in is down; the log, host list and weight store are called log,
// host-list and weight-store there, and GET /standin/ledger gives all runs.
package standin
