package rules

// applyRequestedWait applies a wait that a receiver of a route requested. A shorter wait never replaces a
// longer one.
func (s *Sender) applyRequestedWait(r *route, wait Millis) {
	r.waitUntil = max(r.waitUntil, s.now+wait)
	r.requestedWaitUntil = max(r.requestedWaitUntil, s.now+wait)
}

// RemainingWait returns the rest, at the given time, of the wait that the route of a receiver requested: its
// destination, or the receiver itself where receivers are separate routes. It is 0 when the wait is over.
func (s *Sender) RemainingWait(receiver ReceiverID, now Millis) Millis {
	if rc := s.receivers[receiver]; rc != nil {
		return max(rc.route.requestedWaitUntil-now, 0)
	}
	return 0
}
