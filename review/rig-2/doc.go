// Command rig-2 runs gateways as processes beside stand-ins of the platform's store, servers and requesters, and plays the cases of
// the second review that can't be played as a day of the bench.
package main
