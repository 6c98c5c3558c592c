package counter

import "expvar"

// Set is a group of counters; the zero value is ready to use and unpublished.
type Set struct {
	counts expvar.Map
}

// Publish exports the set under the name at /debug/vars; it panics if the name is in use.
func (s *Set) Publish(name string) {
	expvar.Publish(name, &s.counts)
}

// Add adds n to the counter of that name.
func (s *Set) Add(name string, n int64) {
	s.counts.Add(name, n)
}

// Inc adds one to the counter of that name.
func (s *Set) Inc(name string) {
	s.counts.Add(name, 1)
}

// Get returns the counter's value, or 0 if it was never incremented.
func (s *Set) Get(name string) int64 {
	v, ok := s.counts.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// String returns the counters as a JSON object.
func (s *Set) String() string {
	return s.counts.String()
}

// Do calls the function for each counter, in order of their names.
func (s *Set) Do(f func(expvar.KeyValue)) {
	s.counts.Do(f)
}
