// Package dotterelpulley holds the central types of the request scheduler:
// requests, tiers, organisations, services, endpoints, versions and the
// closed list of error kinds.
//
// Every duty has a package of its own beside this one. A duty imports this
// package and no other duty; the processes under cmd join them.
package dotterelpulley
