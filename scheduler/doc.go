// Package scheduler decides, without looking into requests, which endpoint runs
// each of them, which ones wait and which ones are refused.
//
// Scheduler is a pure state machine: it takes events and the time and returns decisions.
// Engines admit requests in order of arrival, so the scheduler decides the order itself:
// it sends an endpoint no more work than it runs at once and queues the rest by priority.
package scheduler
