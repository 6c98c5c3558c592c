package loader

import (
	"errors"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Entries is an entry host's answer on which addresses to use.
type Entries struct {
	Addresses []dotterelpulley.Address
	// Keep is how long the caller may use the answer.
	Keep time.Duration
}

// Directory is what one caller keeps of the last answer; its times count from any one moment.
type Directory struct {
	entries Entries
	until   time.Duration
	asked   int
}

// Stale reports whether the caller must ask again.
func (d *Directory) Stale(now time.Duration) bool {
	return now >= d.until || len(d.entries.Addresses) == 0
}

// Keep keeps the answer that came at the time; an answer without addresses changes nothing.
func (d *Directory) Keep(now time.Duration, e Entries) {
	if len(e.Addresses) == 0 {
		return
	}
	d.entries = e
	d.until = now + e.Keep
}

// Distrust makes the caller ask again before its next request.
func (d *Directory) Distrust() {
	d.until = 0
}

// Address returns the address for a request's nth send, counted from 0.
func (d *Directory) Address(n int) (dotterelpulley.Address, error) {
	if len(d.entries.Addresses) == 0 {
		return "", errors.New("no entry host has told its addresses yet")
	}
	return d.entries.Addresses[n%len(d.entries.Addresses)], nil
}

// Source returns the host to ask next: the kept addresses and the given ones in turn.
func (d *Directory) Source(given []dotterelpulley.Address) dotterelpulley.Address {
	sources := append(append([]dotterelpulley.Address{}, d.entries.Addresses...), given...)
	source := sources[d.asked%len(sources)]
	d.asked++
	return source
}
