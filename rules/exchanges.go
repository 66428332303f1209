package rules

// This file decides whether a response certainly belongs to its call. HTTP/1.1 matches responses to requests
// only by their order on a connection: after unsolicited bytes from a receiver, each later response on that
// connection may be matched to the wrong call.

const (
	// SettleTime is how long a connection must have been quiet after a response before it carries the next
	// call. A second copy of a response usually arrives within that time.
	SettleTime Millis = 50
	// confirmDelays is the number of mean delays for which the true response to a call is awaited after one
	// that may belong to another call.
	confirmDelays = 3.0
	// settleShare is the share of a mean delay that a call may wait for a connection that settles.
	settleShare = 0.5
	// confirmShare is the shortest time that an at-most-once notice waits for a refusal to be confirmed, as a
	// share of its quoted time.
	confirmShare = 0.125
	// noReuseTime is how long no connection to a destination is reused after a receiver sent unsolicited
	// bytes.
	noReuseTime = 10 * statisticsWindow
)

// ConfirmTime returns how long to wait after a response for the true one, in case the response belongs to
// another call. The first response on a connection certainly belongs to its call; a later one may be a late
// copy of an earlier one.
func (s *Sender) ConfirmTime(id ReceiverID) Millis {
	rc := s.receivers[id]
	if rc == nil {
		return SettleTime
	}
	return max(SettleTime, min(confirmDelays*rc.route.meanDelay, s.settings.OverloadTime))
}

// WaitsToSettle reports whether a call waits for a connection that will have settled when the time left is
// over, rather than for a new connection. A new one costs the receiver work, and delays the call by a
// handshake and by about connectTime, which the last new connection took.
func (s *Sender) WaitsToSettle(id ReceiverID, left, connectTime Millis) bool {
	if rc := s.receivers[id]; rc != nil {
		connectTime = max(connectTime, settleShare*rc.route.meanDelay)
	}
	return left <= connectTime
}

// delayUnconfirmed delays the next trip of a notice until it is confirmed that the last one did not run.
func (s *Sender) delayUnconfirmed(n *notice, e TripEnded) {
	if !e.Unconfirmed {
		return
	}
	wait := s.ConfirmTime(e.Receiver)
	if n.grade.Repeat == AtMostOnce {
		wait = max(wait, confirmShare*n.grade.QuotedTime)
	}
	n.unconfirmedUntil = s.now + wait
	n.notBefore = max(n.notBefore, n.unconfirmedUntil)
}

// confirmOutcome marks an outcome as confirmed. If its notice has ended, the next notice of the key may be
// sent.
func (s *Sender) confirmOutcome(e OutcomeConfirmed) {
	if n := s.notices[e.Notice]; n != nil {
		n.unconfirmed = false
	} else if n := s.unconfirmed[e.Notice]; n != nil {
		n.unconfirmed = false
		s.leaveKeyQueue(n)
	}
}

// retractOutcome retracts an outcome whose response may belong to another call: the trip may have run.
func (s *Sender) retractOutcome(e OutcomeRetracted) {
	if ended := s.unconfirmed[e.Notice]; ended != nil {
		s.coolDownKey(ended)
		ended.unconfirmed = false
		s.leaveKeyQueue(ended)
	}
	n := s.notices[e.Notice]
	if n == nil || n.ended {
		return
	}
	n.unconfirmed = false
	n.possibleRuns++
	if !n.mayHaveRun {
		n.mayHaveRun, n.firstRunAt = true, s.now-e.SentAgo
		if rc := s.receivers[e.Receiver]; rc != nil {
			n.runZone = rc.zone
		} else {
			n.zoneUnknown = true
		}
	}
	s.coolDownKey(n)
	if n.waiting {
		s.removeFromList(n)
		s.addToList(n)
	}
}

// coolDownKey starts the cooldown of a notice's key, because the last trip of the notice may still be
// running.
func (s *Sender) coolDownKey(n *notice) {
	if queue := s.keys[n.key]; queue != nil {
		queue.cooldownUntil = max(queue.cooldownUntil, s.now+s.settings.KeyCooldown)
	}
}

// handleUnsolicitedBytes stops the reuse of connections to a destination after one of its receivers sent
// bytes that no call had requested: each call gets a connection of its own, and idle connections are closed.
func (s *Sender) handleUnsolicitedBytes(e UnsolicitedBytes) {
	rc := s.receivers[e.Receiver]
	if rc == nil {
		return
	}
	d := rc.route.destination
	d.noReuseUntil = s.now + noReuseTime
	for _, r := range d.routes {
		for _, other := range r.receivers {
			s.emit(CloseIdleConnections{other.id})
		}
	}
}
