// Package ranker keeps elements in order of rank in a heap.
//
// Each element keeps its own position, so that any element, not the first one
// only, can be moved or removed in the logarithm of their number.
package ranker

import "container/heap"

// ranked is an element of a ranker.
type ranked[T any] interface {
	// Before orders the elements; two of them must never be equal where the
	// order is to be the same in each run.
	Before(other T) bool
	// Position is where the ranker notes the element's position, counted from
	// one. Zero is outside, and must be so before the element is added.
	Position() *int
}

// Ranker holds elements of which each is in at most one ranker by the same
// position. The zero value is empty.
type Ranker[T ranked[T]] struct {
	items items[T]
}

// Len returns the number of elements.
func (r *Ranker[T]) Len() int { return len(r.items) }

// First returns the first element; the ranker must not be empty.
func (r *Ranker[T]) First() T { return r.items[0] }

// Holds reports whether the element is inside.
func (*Ranker[T]) Holds(item T) bool { return *item.Position() > 0 }

// Set adds the element, or moves it after a change of its rank.
func (r *Ranker[T]) Set(item T) {
	if at := *item.Position(); at > 0 {
		heap.Fix(&r.items, at-1)
		return
	}
	heap.Push(&r.items, item)
}

// Remove takes the element out, if it is inside.
func (r *Ranker[T]) Remove(item T) {
	if at := *item.Position(); at > 0 {
		heap.Remove(&r.items, at-1)
	}
}

// items implements heap.Interface.
type items[T ranked[T]] []T

func (h items[T]) Len() int           { return len(h) }
func (h items[T]) Less(i, j int) bool { return h[i].Before(h[j]) }

func (h items[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].Position() = i + 1
	*h[j].Position() = j + 1
}

// Push is part of heap.Interface.
func (h *items[T]) Push(x any) {
	item, ok := x.(T)
	if !ok {
		panic("pushed value is of another type")
	}
	*item.Position() = len(*h) + 1
	*h = append(*h, item)
}

// Pop is part of heap.Interface.
func (h *items[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	var zero T
	old[len(old)-1] = zero
	*item.Position() = 0
	*h = old[:len(old)-1]
	return item
}
