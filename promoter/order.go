package promoter

import (
	"cmp"
	"time"

	"github.com/dotterelpulley/dotterelpulley"
)

// Number orders the orders of a service, or the records of its status: the era of the store and the offset after the record.
type Number struct {
	Era  dotterelpulley.StoreEra
	Next int64
}

// Compare orders numbers.
func (n Number) Compare(other Number) int {
	return cmp.Or(cmp.Compare(n.Era, other.Era), cmp.Compare(n.Next, other.Next))
}

// Order is an operator's order with its number.
type Order struct {
	dotterelpulley.RolloutOrder
	Number Number
}

// same reports whether both are one order. A store that returns from a copy gives a record another offset.
func (o Order) same(other Order) bool {
	return o.RolloutOrder == other.RolloutOrder && (o.Number == other.Number || o.Number.Era != other.Number.Era)
}

// Fact is what a host tells the others of a roll-out.
type Fact struct {
	Order
	Stage Stage
	// Remaining is the time to the deadline while the roll-out is running.
	Remaining time.Duration
}
