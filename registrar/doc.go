// Package registrar keeps the registrations of endpoints: what the store or another host last said of each, through outages
// of the store, copies of it that are some seconds old, and endpoints that say of themselves that they are leaving.
package registrar
