// Package director tells callers which entry hosts to use, and in which order.
//
// Each caller gets an order of its own, so that the callers of a host that dies
// go on to different ones. The package decides without state: the caller of
// Order hands in what is known of the hosts.
package director
