package relayer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dotterelpulley/dotterelpulley"
)

// Position is a place in the operators' records; the zero value is before all of them.
type Position struct {
	Era dotterelpulley.StoreEra
	// Next is the offset of the next record within the era.
	Next int64
}

// Before reports whether the position comes before another one.
func (p Position) Before(other Position) bool {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Next, other.Next)) < 0
}

// Order is an operator's order; one with an empty value was withdrawn.
type Order struct {
	Record
	// After is the position after the order.
	After Position
}

// OrderSet is the newest order of each key, whichever host it came from; the zero value is empty.
type OrderSet struct {
	newest map[string]Order
	end    Position
}

// Put adds an order and reports whether it is newer than the known one of its key. The orders of a batch have to be put
// oldest first, as hosts ask only for those after the newest one that they have.
func (s *OrderSet) Put(o Order) bool {
	if known, ok := s.newest[o.Key]; ok && !known.After.Before(o.After) {
		return false
	}
	if s.newest == nil {
		s.newest = map[string]Order{}
	}
	s.newest[o.Key] = o
	if s.end.Before(o.After) {
		s.end = o.After
	}
	return true
}

// End returns the position after the newest order.
func (s *OrderSet) End() Position {
	return s.end
}

// Since returns the orders after the position, oldest first.
func (s *OrderSet) Since(from Position) []Order {
	if !from.Before(s.end) {
		return nil
	}
	orders := slices.DeleteFunc(slices.Collect(maps.Values(s.newest)), func(o Order) bool { return !from.Before(o.After) })
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.After.Era, b.After.Era), cmp.Compare(a.After.Next, b.After.Next))
	})
	return orders
}
