package loop

import "time"

// recentIDs remembers the ids of notices for one to two retention times, in two sets: at each rotation the current
// set becomes the previous one, and the previous one is dropped.
type recentIDs struct {
	retention         time.Duration
	rotateAt          time.Time
	current, previous map[string]struct{}
}

// has reports whether an id is remembered.
func (r *recentIDs) has(id string) bool {
	_, inCurrent := r.current[id]
	_, inPrevious := r.previous[id]
	return inCurrent || inPrevious
}

// add remembers an id from the given time on.
func (r *recentIDs) add(id string, at time.Time) {
	if !at.Before(r.rotateAt) {
		r.current, r.previous, r.rotateAt = map[string]struct{}{}, r.current, at.Add(r.retention)
	}
	r.current[id] = struct{}{}
}
