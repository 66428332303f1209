package calls

// The calls out, ordered by the end of their time-outs.

// byDeadline is a heap of calls by the end of their time-outs.
type byDeadline []*Call

func (h byDeadline) Len() int { return len(h) }

func (h byDeadline) Less(i, j int) bool {
	return h[i].due.Before(h[j].due) || h[i].due.Equal(h[j].due) && h[i].Notice < h[j].Notice
}

func (h byDeadline) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].place, h[j].place = i, j }

func (h *byDeadline) Push(x any) { c := x.(*Call); c.place = len(*h); *h = append(*h, c) }

func (h *byDeadline) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
