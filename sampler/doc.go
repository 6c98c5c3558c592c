// Package sampler measures the resource usage of a running process from the kernel's counters in /proc.
package sampler
