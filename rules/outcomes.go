package rules

import "slices"

// What the outcome of a trip tells of its notice, its receiver and its route.

func (s *Sender) tripEnded(e TripEnded) {
	n := s.notices[e.Notice]
	if n == nil || n.out == nil {
		return
	}
	c := n.out
	n.out, n.unconfirmed = nil, e.Unconfirmed
	s.settleCall(c, e)
	mayRun := e.Result != Full && e.Result != NotConnected && e.Result != Moot && !unsent(e.Result)
	if mayStillRun(e.Result) {
		s.restKey(n)
	}
	if unsent(e.Result) {
		n.trips--
	}
	if e.Result == Short {
		s.shortage()
	} else if n.trips > 1 && e.Result != Moot && e.Result != Recalled {
		s.further.add(s.now, statisticsWindow, 1)
		if e.Result == Handled {
			s.won.add(s.now, statisticsWindow, 1)
		}
	}
	if e.Result == Handled && !n.over {
		n.grade.asked.add(s.now, statisticsWindow, n.credit)
		n.grade.earned.add(s.now, statisticsWindow, s.worth(n, s.now))
		delete(c.receiver.failures, n.grade)
	}
	if e.Over || n.over || e.Result == Handled {
		s.forget(n)
		return
	}
	if mayRun {
		c.receiver.failed(n.grade).add(s.now, statisticsWindow, 1)
		if n.ran++; !n.mayHaveRun {
			n.mayHaveRun, n.ranAt, n.ranZone = true, c.sentAt, c.receiver.zone
		}
	}
	if e.MayBeDelivered {
		s.end(n, s.now, false)
		return
	}
	// How often a further trip is made follows how many of the recent ones succeeded.
	if e.Result != Full && e.Result != Moot && !unsent(e.Result) {
		succeeded := (s.won.read(s.now, statisticsWindow) + 1) / (s.further.read(s.now, statisticsWindow) + 1)
		n.restUntil = s.now + n.grade.QuotedTime/16*Millis(1/succeeded-1)
	}
	if !mayRun {
		s.holdUnconfirmed(n, e)
	}
	s.wait(n)
}

// mayStillRun tells an outcome of which the call may go on at its receiver.
func mayStillRun(result Result) bool {
	return result == TimedOut || result == Reset || result == Cancelled || result == Ambiguous
}

// unsent tells an outcome that counts as no trip.
func unsent(result Result) bool { return result == Short || result == Recalled }

// shortage heeds that a call could not be sent for want of something of this sender's own (a connection, a
// descriptor, room in its ledger). It tells nothing of the notice or of the destination: all wait, longer
// each time, until something is handled, so that a shortage is neither asked after without end nor outlived.
func (s *Sender) shortage() {
	if s.shortUntil <= s.now {
		s.shortFor = min(max(2*s.shortFor, s.settings.Fall/128), s.settings.Fall/4)
		s.shortUntil = s.now + s.shortFor
	}
}

// settleCall books a call once, whatever the number of notices aboard.
func (s *Sender) settleCall(c *call, e TripEnded) {
	r := c.receiver.route
	if c.waiting--; c.waiting == 0 {
		s.slotsOut--
		r.out = slices.DeleteFunc(r.out, func(o *call) bool { return o == c })
	}
	s.waitTold(r, e.Wait)
	if c.waiting == 0 && e.Result != Recalled && !s.keeps(c.receiver) {
		s.do(LetGo{c.receiver.id})
	}
	if c.judged {
		return
	}
	c.judged = true
	if !unsent(e.Result) {
		s.bookConnection(c, e)
	}
	if e.LimitTold {
		r.limitRate, r.limitLeft = e.LimitRate/1000, e.LimitLeft
	}
	switch {
	case e.Result == Handled:
		s.shortFor = 0
		s.earn(c.receiver, 2)
		s.measure(r, e.Spent)
		s.success(r, c)
	case e.Result == Full:
		s.earn(c.receiver, 1)
		s.refused(r, c, e.Wait)
	case e.Result == Moot || e.Result == Ambiguous || unsent(e.Result) || e.Result == Cancelled && !c.off,
		e.Result == TimedOut && c.curbed:
		s.earn(c.receiver, 1)
	default:
		s.failure(r, c, e.Result)
	}
}

// bookConnection sets calls on a connection that had been idle against the others, by how many broke or were
// swallowed, and counts the connections refused by destinations of a kind.
func (s *Sender) bookConnection(c *call, e TripEnded) {
	kept, made := &s.busy, &c.receiver.route.destination.kind.made
	if c.idle {
		kept = &s.idle
	}
	kept.calls.add(s.now, statisticsWindow, 1)
	made.calls.add(s.now, statisticsWindow, 1)
	if e.Result == NotConnected {
		made.broke.add(s.now, statisticsWindow, 1)
	}
	if e.Result == Reset || c.off || e.Result == TimedOut && !c.curbed {
		kept.broke.add(s.now, statisticsWindow, 1)
	} else {
		c.receiver.answeredAt = s.now
	}
}

func (s *Sender) success(r *route, c *call) {
	r.answeredAt, r.run, r.backoff = s.now, 0, 0
	r.handled.add(s.now, s.settings.Fall, 1)
	r.served.add(s.now, statisticsWindow, 1)
	r.share = min(r.share+1/(4*r.limitRate*float64(s.settings.Fall)+1), 1)
	// An answer to a call from before the last sign of an outage tells nothing of its end.
	if c.sentAt >= r.badAt {
		if r.sure || s.now-r.badSince >= sureAfter*s.settings.Fall {
			r.returnedAt, r.downFor = s.now, max(s.now-r.badSince, resetTimeout)
		}
		r.badSince, r.down, r.sure = never, false, false
	}
	if r.state == halfOpen && c.trial {
		if r.proved++; r.proved >= halfOpenMaxCalls {
			s.turn(r, closed, "trials succeeded")
		}
		return
	}
	s.record(r, false)
}

func (s *Sender) failure(r *route, c *call, why Result) {
	r.run++
	r.failed.add(s.now, s.settings.Fall, 1)
	s.sign(r, s.again(r, c), r.failed.value >= max(r.handled.read(s.now, s.settings.Fall), 2))
	if why == Errored {
		r.answeredAt = s.now
	} else {
		r.window = max(r.window*narrowing, 1)
	}
	if r.state == halfOpen && c.trial {
		s.openBreaker(r, "a trial failed")
		return
	}
	s.record(r, true)
}

// refused heeds a refusal: the limit, a full queue, or a shut destination.
func (s *Sender) refused(r *route, c *call, wait Millis) {
	r.answeredAt = s.now
	// The longer, the more senders share a limit: so much that what they send together gets under it.
	k := r.destination.kind
	usual := 2 * Millis(k.waits.value+float64(s.settings.Fall)/4) / Millis(k.told.value+0.5)
	pause := min(usual, Millis(float64(s.settings.Senders)/r.limitRate))
	if wait > 0 {
		k.waits.add(s.now, statisticsWindow, float64(wait))
		k.told.add(s.now, statisticsWindow, 1)
		r.waitUntil = max(r.waitUntil, s.now+wait+pause*Millis(s.random()))
	} else if c.sentAt >= r.yieldedAt { // calls refused together tell no more than one of them
		r.backoff = max(2*r.backoff, pause, s.settings.Fall/16)
		r.waitUntil = max(r.waitUntil, s.now+r.backoff*Millis(0.5+s.random()))
	}
	// Told to wait with much of the limit left, or for long: shut, not over its limit.
	shut := wait > 0 && r.limitLeft > muchLeft || wait > sureAfter*s.settings.Fall
	s.sign(r, false, shut || s.again(r, c))
	if c.sentAt < r.yieldedAt {
		return
	}
	r.yieldedAt = s.now
	if r.limitRate > 0 && r.limitLeft <= muchLeft {
		r.share = max(r.share*yielding, leastShare)
	} else {
		r.window = max(r.window*narrowing, 1)
	}
}
