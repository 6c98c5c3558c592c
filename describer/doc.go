// Package describer carries what a gateway believes, of itself, the other hosts, the endpoints and the caps, to operators.
package describer
