package loader

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// property makes quicktest report failures to rapid, which needs to see each of them.
type property struct {
	testing.TB
	rapid *rapid.T
}

func (p property) Helper()           { p.rapid.Helper() }
func (p property) Error(args ...any) { p.rapid.Error(args...) }
func (p property) Fatal(args ...any) { p.rapid.Fatal(args...) }

// checkProperty checks the property for generated values.
func checkProperty(t *testing.T, check func(*qt.C, *rapid.T)) {
	rapid.Check(t, func(r *rapid.T) {
		check(qt.New(property{TB: t, rapid: r}), r)
	})
}
