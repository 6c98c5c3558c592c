// Package spooler buffers log lines for an output that may be slow or blocked, within limits in bytes.
package spooler
