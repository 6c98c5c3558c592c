package loader

import (
	"errors"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Entries is an entry host's list of addresses to use.
type Entries struct {
	Addresses []dotterelpulley.Address
	// TTL is how long the caller may use the list.
	TTL time.Duration
}

// Directory caches the last list of addresses for one caller; its times count from any fixed start.
type Directory struct {
	entries    Entries
	expiresAt  time.Duration
	nextSource int
}

// Stale reports whether the caller must request the addresses again.
func (d *Directory) Stale(now time.Duration) bool {
	return now >= d.expiresAt || len(d.entries.Addresses) == 0
}

// Store caches a list received at the time; a list without addresses is ignored.
func (d *Directory) Store(now time.Duration, e Entries) {
	if len(e.Addresses) == 0 {
		return
	}
	d.entries = e
	d.expiresAt = now + e.TTL
}

// Invalidate makes the caller request the addresses again before its next send.
func (d *Directory) Invalidate() {
	d.expiresAt = 0
}

// Address returns the address for the nth send of a request, counted from 0.
func (d *Directory) Address(n int) (dotterelpulley.Address, error) {
	if len(d.entries.Addresses) == 0 {
		return "", errors.New("no entry host has told its addresses yet")
	}
	return d.entries.Addresses[n%len(d.entries.Addresses)], nil
}

// NextSource returns the host to query next, rotating over the cached and the configured addresses.
func (d *Directory) NextSource(configured []dotterelpulley.Address) dotterelpulley.Address {
	sources := append(append([]dotterelpulley.Address{}, d.entries.Addresses...), configured...)
	source := sources[d.nextSource%len(sources)]
	d.nextSource++
	return source
}
