// Package rehearsal carries out moves in virtual time on modelled entry hosts,
// engines and a log, from a seed, with the real decision cores and with a naive
// mover beside them.
package rehearsal
