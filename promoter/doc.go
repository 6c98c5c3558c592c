// Package promoter decides how a service's traffic moves to the version that an operator ordered: how many requests the
// version gets on this host, when it has been proved, and when it is taken back.
package promoter
