package dotterelpulley

// HostID identifies a host.
type HostID string

// Incarnation identifies one start of a process on a host.
type Incarnation string

// Address is an IP address and port, such as "127.0.0.1:7000".
type Address string
