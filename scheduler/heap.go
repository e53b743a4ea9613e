package scheduler

import "container/heap"

// teamHeap orders teams by virtual time, and by name where that is equal, so
// that the order never depends on the order of a map.
type teamHeap []*teamQueue

var _ heap.Interface = (*teamHeap)(nil)

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].name < h[j].name
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is part of heap.Interface.
func (h *teamHeap) Push(x any) {
	t, ok := x.(*teamQueue)
	if !ok {
		panic("pushed value is no team queue")
	}
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop is part of heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	t.index = -1
	*h = old[:len(old)-1]
	return t
}
