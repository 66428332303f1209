package rules

// Which idle connections are worth keeping, and which calls may still leave when their connections have
// come up.

// keeps tells whether a connection is worth keeping: where this sender calls again soon. Some destinations
// take few, and what many senders keep idle shuts out others: so if those of its kind refuse some, or
// little is known of it, this sender must call often for the number of senders.
func (s *Sender) keeps(rc *receiver) bool {
	if s.now < rc.route.destination.surplusUntil {
		return false
	}
	often := evenKeeping * float64(s.settings.Senders)
	if !s.scarce(rc) {
		often = min(often, keeping)
	}
	return rc.used.read(s.now, s.settings.IdleKept) >= often
}

// scarce tells whether destinations of a receiver's kind refuse connections, or may: little is known of them.
func (s *Sender) scarce(rc *receiver) bool {
	made := &rc.route.destination.kind.made
	calls := made.calls.read(s.now, statisticsWindow)
	return made.broke.read(s.now, statisticsWindow) > tooMany*(calls-fewCalls)
}

// distrustsIdle tells whether idle connections break more often by far than others: then something between
// forgets them, and what goes out on one is lost, for good if it must not run twice.
func (s *Sender) distrustsIdle() bool {
	broke, calls := s.idle.broke.read(s.now, statisticsWindow), s.idle.calls.read(s.now, statisticsWindow)
	others := s.busy.broke.read(s.now, statisticsWindow) / (1 + s.busy.calls.read(s.now, statisticsWindow))
	return broke >= 1 && broke/calls > breaking+farWorse*others
}

// A call for which no connection was free leaves when its connection has come up, up to the connect time-out
// after the decision to send it. What the sender has heard meanwhile decides whether it still may leave.

// connectionsUp lets calls leave whose connections have come up, or takes them back. It comes after all other
// events of the turn, so that an answer that was read together with the connection's coming up is known.
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
