// Package capacity holds the benchmarks behind docs/CAPACITY.md: each runs one component at
// several sizes, so that "dotterel-load fit" can fit a line to its results.
package capacity
