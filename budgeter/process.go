package budgeter

import (
	"runtime/debug"
)

const (
	// clientShare is the fraction of a process's memory that clients may make it hold, as the collector lets the heap double.
	clientShare = 0.25
	// collectorShare is the fraction of a process's memory from which on the collector runs more often than the heap doubles.
	collectorShare = 0.75
)

// LimitsOf returns the limits for a process with the memory that may have the number of connections of clients; zero is unknown.
func LimitsOf(memory Bytes, connections int) Limits {
	return Limits{Bytes: Bytes(clientShare * float64(memory)), Connections: connections}
}

// LimitHeap makes the collector keep the process's heap below its memory; zero is unknown and changes nothing.
func LimitHeap(memory Bytes) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(memory)))
	}
}
