// Package verifier rejects responses that don't have the form that HTTP/1 requires. The parsers in use let some of them pass, with a status
// that doesn't exist, or with a body that a field of another name delimits.
package verifier
