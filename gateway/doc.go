// Package gateway is the process of a host that forwards opaque requests to
// endpoints, on a platform without disks, load balancers or control hosts.
//
// It connects the decision logic of scheduler, rationer, isolator and announcer with
// sockets, clocks and the platform's store.
package gateway
