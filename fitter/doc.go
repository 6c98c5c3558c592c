// Package fitter fits straight lines through measured points, such as those of
// benchmarks that run at several sizes.
package fitter
