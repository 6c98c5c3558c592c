// Package counter counts events by kebab-case name and publishes them through expvar.
package counter
