// Package pathfinder decides whether a host has lost its links to the endpoints of a service.
//
// Pathfinder is a pure state machine: it takes the results of connection attempts and the time.
package pathfinder
