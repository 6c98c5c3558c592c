package admitter

import "container/heap"

// indexed is an item of an indexHeap that stores its own index.
type indexed interface {
	comparable
	position() *int
}

// indexHeap is a binary heap from which any member can be removed by its index.
type indexHeap[T indexed] struct {
	less    func(a, b T) bool
	members []T
}

func (h *indexHeap[T]) Len() int           { return len(h.members) }
func (h *indexHeap[T]) Less(i, j int) bool { return h.less(h.members[i], h.members[j]) }

func (h *indexHeap[T]) Swap(i, j int) {
	h.members[i], h.members[j] = h.members[j], h.members[i]
	*h.members[i].position() = i
	*h.members[j].position() = j
}

// Push appends a member for container/heap.
func (h *indexHeap[T]) Push(x any) {
	member := x.(T)
	*member.position() = len(h.members)
	h.members = append(h.members, member)
}

// Pop removes the last member for container/heap.
func (h *indexHeap[T]) Pop() any {
	last := len(h.members) - 1
	member := h.members[last]
	var zero T
	h.members[last] = zero
	h.members = h.members[:last]
	*member.position() = -1
	return member
}

func (h *indexHeap[T]) add(member T)    { heap.Push(h, member) }
func (h *indexHeap[T]) remove(member T) { heap.Remove(h, *member.position()) }
func (h *indexHeap[T]) fix(member T)    { heap.Fix(h, *member.position()) }

func (h *indexHeap[T]) first() (T, bool) {
	if len(h.members) == 0 {
		var zero T
		return zero, false
	}
	return h.members[0], true
}
