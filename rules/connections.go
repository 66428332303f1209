package rules

// This file decides which idle connections are kept, and which calls may still be sent when their connections
// are established.

// keepsIdleConnection reports whether an idle connection to a receiver is kept, because this sender will
// probably call again soon. Some destinations accept few connections, and the idle ones of many senders keep
// other senders from connecting. So while connections to destinations of this kind are scarce, the required
// number of recent calls grows with the number of senders.
func (s *Sender) keepsIdleConnection(rc *receiver) bool {
	if s.now < rc.route.destination.noReuseUntil {
		return false
	}
	minCalls := keepIdleCallsPerSender * float64(s.settings.Senders)
	if !s.connectionsScarce(rc) {
		minCalls = min(minCalls, keepIdleCalls)
	}
	return rc.recentCalls.read(s.now, s.settings.IdleTimeout) >= minCalls
}

// connectionsScarce reports whether destinations of a receiver's kind refuse connections, or too few calls
// were made to know.
func (s *Sender) connectionsScarce(rc *receiver) bool {
	stats := &rc.route.destination.kind.connections
	calls := stats.calls.read(s.now, statisticsWindow)
	return stats.lost.read(s.now, statisticsWindow) > refusedConnectionShare*(calls-minCallsPerKind)
}

// distrustsIdleConnections reports whether calls are lost much more often on idle connections than on others.
// Then something on the network path forgets idle connections, and a call that is sent on one is lost. A
// notice that must not run twice would be lost with it.
func (s *Sender) distrustsIdleConnections() bool {
	lost, calls := s.idleConnections.lost.read(s.now, statisticsWindow),
		s.idleConnections.calls.read(s.now, statisticsWindow)
	otherLossShare := s.busyConnections.lost.read(s.now, statisticsWindow) /
		(1 + s.busyConnections.calls.read(s.now, statisticsWindow))
	return lost >= 1 && lost/calls > excessLossShare+idleLossFactor*otherLossShare
}

// decideConnectedCalls writes or recalls the calls whose connections were established in this turn. Such a
// connection may take until the connect timeout after the decision to send the call, and events in that time
// may forbid it. decideConnectedCalls runs after all other events of the turn, so that it knows a response
// that was read together with the event of the connection.
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

// mayStillSend reports whether the call of a notice, which was decided on earlier, may be written now.
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
	// Calls that were decided on before the outage was seen would all be sent at its end, bypassing the
	// pacing.
	return !r.down || c.sentAt >= r.lastOutageSignAt
}
