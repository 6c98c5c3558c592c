// Package entry implements the entry host process. It serves callers, connects the
// decision-making packages to sockets and to the platform, and exposes its state to operators.
package entry
