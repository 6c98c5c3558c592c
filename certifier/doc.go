// Package certifier keeps a process's certificates: it loads them from files, takes
// replaced files without a restart and never goes back to none.
package certifier
