// Package connector keeps connections to endpoints and exchanges one request at a
// time on each of them.
//
// Unlike net/http's transport it never resends a request, reports whether a request
// may have reached the endpoint, and matches responses to requests.
package connector
