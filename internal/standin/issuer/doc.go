// Package issuer provides a certificate authority for tests, in place of an operator's.
package issuer
