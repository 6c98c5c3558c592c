package loader

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// property lets quicktest report to a rapid check, which must see each failure itself.
type property struct {
	testing.TB
	rapid *rapid.T
}

func (p property) Helper()           { p.rapid.Helper() }
func (p property) Error(args ...any) { p.rapid.Error(args...) }
func (p property) Fatal(args ...any) { p.rapid.Fatal(args...) }

// checkProperty runs the property over drawn values.
func checkProperty(t *testing.T, holds func(*qt.C, *rapid.T)) {
	rapid.Check(t, func(r *rapid.T) {
		holds(qt.New(property{TB: t, rapid: r}), r)
	})
}
