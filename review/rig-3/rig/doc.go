// Package rig runs gateways as separate processes beside stand-ins for the platform's store, servers and clients.
package rig
