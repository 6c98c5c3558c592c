// Package lister reads the platform's host list.
package lister
