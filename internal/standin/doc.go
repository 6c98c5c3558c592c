// Package standin stands in for the platform and the endpoints in tests and
// demonstrations: log service, host list, weight store, engines and plain
// services, each with faults on order and a ledger of what ran.
package standin
