package rules

// A call for which no connection was free leaves when its connection has come up, up to the connect time-out after the
// decision to send it. What the sender has heard meanwhile decides whether it still may leave.

// connectionsUp lets calls leave whose connections have come up, or takes them back. It comes after all other events of
// the turn, so that an answer that was read together with the connection's coming up is known.
func (s *Sender) connectionsUp(events []Event) {
	for _, e := range events {
		up, is := e.(ConnectionUp)
		if !is {
			continue
		}
		if n := s.notices[up.Notice]; n != nil && n.out != nil && s.mayStillLeave(n) {
			s.do(Write(up))
		} else {
			s.do(Recall(up))
		}
	}
}

// mayStillLeave tells whether a call that was decided on before may leave now.
func (s *Sender) mayStillLeave(n *notice) bool {
	c := n.out
	r := c.receiver.route
	switch {
	case n.over || s.now >= s.lastCall(n):
		return false
	case s.passesAt(n, c.receiver) > s.now:
		return false
	case r.state == halfOpen && !c.trial:
		return false
	}
	// Calls that were decided on before an outage showed would all leave at its end, however it is paced.
	return !r.down || c.sentAt >= r.badAt
}
