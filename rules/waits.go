package rules

// waitTold keeps a wait that a route has told. A shorter one never takes the place of a longer one.
func (s *Sender) applyRequestedWait(r *route, wait Millis) {
	r.waitUntil = max(r.waitUntil, s.now+wait)
	r.requestedWaitUntil = max(r.requestedWaitUntil, s.now+wait)
}

// WaitLeft is how much is left at a time of the wait that a receiver's destination, or its route, has told.
// It is 0 where none is left.
func (s *Sender) WaitLeft(receiver ReceiverID, now Millis) Millis {
	if rc := s.receivers[receiver]; rc != nil {
		return max(rc.route.requestedWaitUntil-now, 0)
	}
	return 0
}
