// Package sampler measures what a running process costs, from the kernel's own counts.
package sampler
