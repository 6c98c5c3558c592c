// Package capacity holds the benchmarks behind docs/CAPACITY.md: each runs one duty at
// several sizes, so that "dotterel-load fit" can draw a line through its figures.
package capacity
