// Package pathfinder decides whether a host has lost its links to the endpoints of a service, and which other host its
// requests go through meanwhile.
//
// Pathfinder is a pure state machine: it takes the results of connection attempts, the other hosts and the time.
package pathfinder
