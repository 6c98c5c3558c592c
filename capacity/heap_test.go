package capacity

import (
	"fmt"
	"runtime"
	"testing"
)

// heapOf returns the live bytes that build adds to the heap.
func heapOf[T any](build func() T) (kept T, bytes float64) {
	before := liveHeap()
	kept = build()
	after := liveHeap()
	return kept, float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// atSizes runs the benchmark once a size, named so that the sizes can be read from its output.
func atSizes(b *testing.B, name string, sizes []int, run func(*testing.B, int)) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%s=%d", name, size), func(b *testing.B) { run(b, size) })
	}
}
