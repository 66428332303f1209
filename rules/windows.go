package rules

// This file limits how many calls may be outstanding, by the tokens of a receiver and the delay window of a
// route.

// addTokens refills the tokens of a receiver and returns them. A call takes one token. A response gives it
// back, and a success gives back one more, which a failed call lost. Tokens that stay lost are refilled one
// per overload time.
func (s *Sender) addTokens(rc *receiver, tokens float64) float64 {
	tokens += float64((s.now - rc.tokensUpdatedAt) / s.settings.OverloadTime)
	rc.tokens, rc.tokensUpdatedAt = min(rc.tokens+tokens, s.maxTokens), s.now
	return rc.tokens
}

// updateDelayWindow adds the delay of a handled call to the means and adjusts the delay window: it grows
// while it is well used and the mean delay is near the best one, and shrinks while the route is slow.
func (s *Sender) updateDelayWindow(r *route, delay Millis) {
	r.meanDelay = r.delays.add(s.now, s.settings.OverloadTime, delay)
	s.meanDelay = s.delays.add(s.now, s.settings.OverloadTime, delay)
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

// slow reports whether the mean delay of a route is far above its best one.
func (r *route) slow() bool { return r.meanDelay > slowRatio*r.bestDelay }
