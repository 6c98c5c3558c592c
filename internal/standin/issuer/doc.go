// Package issuer stands in for an operator's certificate authority.
package issuer
