// Package drainer decides the steps of a graceful shutdown: leave the directory, drain, sign off and close.
package drainer
