// Package dotterelpulley defines the shared types of the request scheduler:
// requests, tiers, organisations, services, endpoints, versions and the
// fixed set of error kinds.
//
// Each component has its own package below this one. A component imports this
// package and no other component; the commands under cmd combine them.
package dotterelpulley
