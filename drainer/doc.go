// Package drainer decides the steps of a graceful shutdown: out of the directory, drain, sign off, close.
package drainer
