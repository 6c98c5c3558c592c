// Package director determines which entry hosts a caller uses, and in which order.
//
// Each caller gets its own order, so that the callers of a host that crashes
// move on to different hosts. The package is stateless: the caller of Order
// passes in the states of the hosts.
package director
