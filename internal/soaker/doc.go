// Package soaker runs gateway processes against stand-ins of the platform, injects a seeded series of faults from
// outside, and checks from what callers and endpoints observe that no guarantee of the gateway is violated.
package soaker
