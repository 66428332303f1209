package calls

// byDeadline is a heap of outstanding calls, the one with the earliest deadline first. It implements
// heap.Interface, and keeps the heapIndex of each call.
type byDeadline []*Call

func (h byDeadline) Len() int { return len(h) }

func (h byDeadline) Less(i, j int) bool {
	return h[i].deadline.Before(h[j].deadline) || h[i].deadline.Equal(h[j].deadline) && h[i].Notice < h[j].Notice
}

func (h byDeadline) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }

func (h *byDeadline) Push(x any) { call := x.(*Call); call.heapIndex = len(*h); *h = append(*h, call) }

func (h *byDeadline) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
