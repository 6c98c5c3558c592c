package dotterelpulley

// HostID names a host.
type HostID string

// Incarnation tells one start of a process on a host from every other start.
type Incarnation string

// Address is an IP address and port, as "127.0.0.1:7000".
type Address string
