// Package emulator drives the routing decisions before small engine models in
// virtual time, the naive version and the real one from one seed, and tells what
// each made of the same requests.
package emulator
