// Package certifier holds a process's TLS certificates: it loads them from files and reloads
// replaced files without a restart. Once loaded, there is always a certificate in use.
package certifier
