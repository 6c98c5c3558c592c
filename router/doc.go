// Package router holds the configuration of opaque requests and matches requests to routes.
//
// A Table is built once from a configuration and is immutable, so that any number of
// goroutines may read it.
package router
