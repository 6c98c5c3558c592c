// Package entry is the process of an entry host: it answers callers, joins the
// duties' decisions to sockets and the platform, and shows operators its state.
package entry
