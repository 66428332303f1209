package rules

// Which idle connections are worth keeping, and which calls may still leave when their connections have
// come up.

// keeps tells whether a connection is worth keeping: where this sender calls again soon. Some destinations
// take few, and what many senders keep idle shuts out others: so if those of its kind refuse some, or
// little is known of it, this sender must call often for the number of senders.
func (s *Sender) keepsIdleConnection(rc *receiver) bool {
	if s.now < rc.route.destination.noReuseUntil {
		return false
	}
	minCalls := keepIdleCallsPerSender * float64(s.settings.Senders)
	if !s.connectionsScarce(rc) {
		minCalls = min(minCalls, keepIdleCalls)
	}
	return rc.recentCalls.read(s.now, s.settings.IdleKept) >= minCalls
}

// scarce tells whether destinations of a receiver's kind refuse connections, or may: little is known of them.
func (s *Sender) connectionsScarce(rc *receiver) bool {
	stats := &rc.route.destination.kind.connections
	calls := stats.calls.read(s.now, statisticsWindow)
	return stats.lost.read(s.now, statisticsWindow) > refusedConnectionShare*(calls-minCallsPerKind)
}

// distrustsIdle tells whether idle connections break more often by far than others: then something between
// forgets them, and what goes out on one is lost, for good if it must not run twice.
func (s *Sender) distrustsIdleConnections() bool {
	lost, calls := s.idleConnections.lost.read(s.now, statisticsWindow), s.idleConnections.calls.read(s.now, statisticsWindow)
	otherLossShare := s.busyConnections.lost.read(s.now, statisticsWindow) / (1 + s.busyConnections.calls.read(s.now, statisticsWindow))
	return lost >= 1 && lost/calls > excessLossShare+idleLossFactor*otherLossShare
}

// A call for which no connection was free leaves when its connection has come up, up to the connect time-out
// after the decision to send it. What the sender has heard meanwhile decides whether it still may leave.

// connectionsUp lets calls leave whose connections have come up, or takes them back. It comes after all other
// events of the turn, so that an answer that was read together with the connection's coming up is known.
func (s *Sender) decideConnectedCalls(events []Event) {
	for _, e := range events {
		up, ok := e.(ConnectionUp)
		if !ok {
			continue
		}
		if n := s.notices[up.Notice]; n != nil && n.currentCall != nil && s.mayStillSend(n) {
			s.emit(Write(up))
		} else {
			s.emit(Recall(up))
		}
	}
}

// mayStillLeave tells whether a call that was decided on before may leave now.
func (s *Sender) mayStillSend(n *notice) bool {
	c := n.currentCall
	r := c.receiver.route
	switch {
	case n.ended || s.now >= s.answerBy(n):
		return false
	case s.allowedAt(n, c.receiver) > s.now:
		return false
	case r.state == halfOpen && !c.trial:
		return false
	}
	// Calls that were decided on before an outage showed would all leave at its end, however it is paced.
	return !r.down || c.sentAt >= r.lastOutageSignAt
}
