package rules

// How many calls may be out: the credits of a receiver and the delay window of a route.

// earn gives a receiver credits back: an answer what its send has spent, a success what a failed call has
// spent besides. What stays lost comes back one a fall.
func (s *Sender) addTokens(rc *receiver, tokens float64) float64 {
	tokens += float64((s.now - rc.tokensUpdatedAt) / s.settings.Fall)
	rc.tokens, rc.tokensUpdatedAt = min(rc.tokens+tokens, s.maxTokens), s.now
	return rc.tokens
}

// measure moves the delay window.
func (s *Sender) updateDelayWindow(r *route, delay Millis) {
	r.meanDelay = r.delays.add(s.now, s.settings.Fall, delay)
	s.meanDelay = s.delays.add(s.now, s.settings.Fall, delay)
	if r.bestDelay == 0 || r.meanDelay < r.bestDelay {
		r.bestDelay = r.meanDelay
	}
	r.bestDelay += (r.meanDelay - r.bestDelay) * bestDelayDrift
	switch {
	case r.meanDelay <= nearBestRatio*r.bestDelay && float64(len(r.outstanding)+1) >= r.delayWindow/2:
		r.delayWindow = min(r.delayWindow+1/r.delayWindow, float64(s.settings.Slots))
	case r.slow():
		r.delayWindow = max(r.delayWindow*windowDecrease, 1)
	}
}

func (r *route) slow() bool { return r.meanDelay > slowRatio*r.bestDelay }
