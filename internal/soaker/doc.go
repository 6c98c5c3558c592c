// Package soaker runs gateways as processes beside stand-ins of the platform, strikes them with a seeded series of
// faults from outside, and checks from what callers and endpoints see that every promise held.
package soaker
