package capacity

import (
	"fmt"
	"runtime"
	"testing"
)

// measureHeap returns the result of build and the live bytes that it adds to the heap.
func measureHeap[T any](build func() T) (result T, bytes float64) {
	before := liveHeap()
	result = build()
	after := liveHeap()
	return result, float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// runSizes runs the benchmark once for each size, as a sub-benchmark "name=size" that package fitter can parse.
func runSizes(b *testing.B, name string, sizes []int, run func(*testing.B, int)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%s=%d", name, size), func(b *testing.B) { run(b, size) })
	}
}
