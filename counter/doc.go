// Package counter counts events by kebab-case name and shows them through expvar.
package counter
