package rules

// Which answers are surely those of their calls. HTTP/1.1 ties answers to calls by their order on a
// connection alone: a receiver that sends more than it was asked for shifts every later answer on that
// connection to another call.

const (
	// SettleTime is how long a connection must have been quiet since an answer to carry a further call: a
	// second copy of an answer usually comes within that time.
	SettleTime Millis = 50
	// confirmDelays is how many mean delays the true answer to a call is waited for, behind one that may be
	// another call's.
	confirmDelays = 3.0
	// settlePart is how much of a mean delay a call may wait for a connection that settles.
	settleShare = 0.5
	// confirmPart is how much of its quoted time a notice that must not run twice waits at least for a
	// refusal to be confirmed.
	confirmShare = 0.125
	// surplusRemembered is how long no connection is reused where a receiver sent more than it was asked for.
	noReuseTime = 10 * statisticsWindow
)

// ConfirmTime is how long behind an answer the true one would have come, if it was another call's. The
// first answer on a connection is surely that of its call; a later one may be a late copy.
func (s *Sender) ConfirmTime(id ReceiverID) Millis {
	rc := s.receivers[id]
	if rc == nil {
		return SettleTime
	}
	return max(SettleTime, min(confirmDelays*rc.route.meanDelay, s.settings.Fall))
}

// WaitsToSettle tells whether a call waits for a connection that still settles rather than for a new one,
// which costs the receiver work, and the call the time of coming up and of a handshake.
func (s *Sender) WaitsToSettle(id ReceiverID, left, connectTime Millis) bool {
	if rc := s.receivers[id]; rc != nil {
		connectTime = max(connectTime, settleShare*rc.route.meanDelay)
	}
	return left <= connectTime
}

// holdUnconfirmed keeps a notice from its next trip until it is confirmed that this one has not run.
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

// outcomeConfirmed lets the next notice of a key go where this one is over.
func (s *Sender) confirmOutcome(e OutcomeConfirmed) {
	if n := s.notices[e.Notice]; n != nil {
		n.unconfirmed = false
	} else if n := s.unconfirmed[e.Notice]; n != nil {
		n.unconfirmed = false
		s.leaveKeyQueue(n)
	}
}

// outcomeDoubted takes an outcome back: its answer may have been another call's, and the trip may have run.
func (s *Sender) retractOutcome(e OutcomeDoubted) {
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

// restKey lets the key of a notice rest whose last trip may still run.
func (s *Sender) coolDownKey(n *notice) {
	if queue := s.keys[n.key]; queue != nil {
		queue.cooldownUntil = max(queue.cooldownUntil, s.now+s.settings.KeyRest)
	}
}

// surplusHeard heeds that a receiver sent more than it was asked for: calls to its destination have
// connections of their own.
func (s *Sender) handleUnsolicitedBytes(e SurplusHeard) {
	rc := s.receivers[e.Receiver]
	if rc == nil {
		return
	}
	d := rc.route.destination
	d.noReuseUntil = s.now + noReuseTime
	for _, r := range d.routes {
		for _, other := range r.receivers {
			s.emit(LetGo{other.id})
		}
	}
}
