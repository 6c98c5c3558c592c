// Package proxy puts faults between two addresses: delay, cuts, silence, lost answers, refusals.
package proxy
