// Package ranker implements an indexed heap.
//
// Each element stores its own position in the heap, so that any element can be
// moved or removed in logarithmic time.
package ranker

import "container/heap"

// element is the type set of the elements of a ranker.
type element[T any] interface {
	// Before reports whether the element goes before the other one. The order
	// must be total for the heap to be deterministic.
	Before(other T) bool
	// Position points to the element's position in the ranker, counted from one.
	// It is zero outside of a ranker, and so before the element is added.
	Position() *int
}

// Ranker is an indexed heap. An element can be in only one ranker at a time for
// each position that it stores. The zero value is empty.
type Ranker[T element[T]] struct {
	items items[T]
}

// Len returns the number of elements.
func (r *Ranker[T]) Len() int { return len(r.items) }

// First returns the first element; the ranker must not be empty.
func (r *Ranker[T]) First() T { return r.items[0] }

// Contains reports whether the element is in the ranker.
func (*Ranker[T]) Contains(item T) bool { return *item.Position() > 0 }

// AddOrFix adds the element, or restores its place after a change of its order.
func (r *Ranker[T]) AddOrFix(item T) {
	if at := *item.Position(); at > 0 {
		heap.Fix(&r.items, at-1)
		return
	}
	heap.Push(&r.items, item)
}

// Remove removes the element if it is in the ranker.
func (r *Ranker[T]) Remove(item T) {
	if at := *item.Position(); at > 0 {
		heap.Remove(&r.items, at-1)
	}
}

// items implements heap.Interface.
type items[T element[T]] []T

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
