// Package describer encodes and decodes the state that a gateway shows to operators: its view of itself, the other hosts, the endpoints and the caps.
package describer
