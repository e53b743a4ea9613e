package decider

import "container/heap"

// deadlineHeap orders the jobs that have not ended by their deadline.
type deadlineHeap []*jobState

var _ heap.Interface = (*deadlineHeap)(nil)

func (h *deadlineHeap) add(s *jobState) { heap.Push(h, s) }

func (h *deadlineHeap) remove(s *jobState) { heap.Remove(h, s.index) }

// first returns the job with the earliest deadline, or nil.
func (h deadlineHeap) first() *jobState {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].job.Deadline.Before(h[j].job.Deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is part of heap.Interface.
func (h *deadlineHeap) Push(x any) {
	s, ok := x.(*jobState)
	if !ok {
		panic("pushed value is no job state")
	}
	s.index = len(*h)
	*h = append(*h, s)
}

// Pop is part of heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}
