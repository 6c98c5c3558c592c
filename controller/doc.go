// Package controller runs the process that carries out release notes: it gives the mover its
// input from the log, the host list, the endpoints and the entry hosts, and executes its actions.
package controller
