// Package proxy forwards TCP connections and injects network faults: delay, closed or silenced connections, lost answers, refused connections.
package proxy
