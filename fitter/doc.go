// Package fitter fits straight lines to measurements, such as those of
// benchmarks that run at several sizes.
package fitter
