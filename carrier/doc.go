// Package carrier is the process that carries out release notes: it joins the mover's
// decisions to the log, the host list, the endpoints and the entry hosts.
package carrier
