// Package budgeter limits the memory and the connections that clients make a process hold.
//
// All listeners of a process share one Budget. Each connection has an Account, to which the heads and bodies of its requests are
// charged before they take memory. When the budget is used up, the connections that have held most for longest without completing a
// request are closed, so that a crowd of clients that stay open doesn't lock others out.
package budgeter
