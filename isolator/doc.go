// Package isolator detects requests that crash the endpoints they run on, so that every host refuses them.
//
// Isolator and PartGuard are pure state machines. They only add evidence until it expires, so hosts can merge what they know.
package isolator
