package rules

// How many calls may be out: the credits of a receiver and the delay window of a route.

// earn gives a receiver credits back: an answer what its send has spent, a success what a failed call has
// spent besides. What stays lost comes back one a fall.
func (s *Sender) earn(rc *receiver, credits float64) float64 {
	credits += float64((s.now - rc.creditAt) / s.settings.Fall)
	rc.credits, rc.creditAt = min(rc.credits+credits, s.credits), s.now
	return rc.credits
}

// measure moves the delay window.
func (s *Sender) measure(r *route, spent Millis) {
	r.mean = r.delays.add(s.now, s.settings.Fall, spent)
	s.usual = s.delays.add(s.now, s.settings.Fall, spent)
	if r.best == 0 || r.mean < r.best {
		r.best = r.mean
	}
	r.best += (r.mean - r.best) * bestDrift
	switch {
	case r.mean <= nearBest*r.best && float64(len(r.out)+1) >= r.window/2:
		r.window = min(r.window+1/r.window, float64(s.settings.Slots))
	case r.slow():
		r.window = max(r.window*narrowing, 1)
	}
}

func (r *route) slow() bool { return r.mean > farBest*r.best }
