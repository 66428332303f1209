package rules

import "slices"

// This file records the outcome of a trip for its notice, its receiver and its route.

// endTrip applies the outcome of a trip, and queues the notice again if it has not ended.
func (s *Sender) endTrip(e TripEnded) {
	n := s.notices[e.Notice]
	if n == nil || n.currentCall == nil {
		return
	}
	c := n.currentCall
	n.currentCall, n.unconfirmed = nil, e.Unconfirmed
	s.recordCall(c, e)
	countsAsRun := e.Result != Refused && e.Result != NotConnected && e.Result != NotSent &&
		!countsAsNoTrip(e.Result)
	if mayStillBeRunning(e.Result) {
		s.coolDownKey(n)
	}
	if countsAsNoTrip(e.Result) {
		n.trips--
	}
	if e.Result == LocalShortage {
		s.pauseForShortage()
	} else if n.trips > 1 && e.Result != NotSent && e.Result != Recalled {
		s.furtherTrips.add(s.now, statisticsWindow, 1)
		if e.Result == Handled {
			s.succeededFurtherTrips.add(s.now, statisticsWindow, 1)
		}
	}
	if e.Result == Handled && !n.ended {
		n.grade.requestedCredit.add(s.now, statisticsWindow, n.credit)
		n.grade.earnedCredit.add(s.now, statisticsWindow, s.creditAt(n, s.now))
		delete(c.receiver.failuresByGrade, n.grade)
	}
	if e.NoticeEnded || n.ended || e.Result == Handled {
		s.releaseNotice(n)
		return
	}
	if countsAsRun {
		c.receiver.gradeFailures(n.grade).add(s.now, statisticsWindow, 1)
		if n.possibleRuns++; !n.mayHaveRun {
			n.mayHaveRun, n.firstRunAt, n.runZone = true, c.sentAt, c.receiver.zone
		}
	}
	if e.MayBeDelivered {
		s.finish(n, s.now, false)
		return
	}
	// The fewer of the recent further trips succeeded, the longer the delay before the next one.
	if e.Result != Refused && e.Result != NotSent && !countsAsNoTrip(e.Result) {
		successShare := (s.succeededFurtherTrips.read(s.now, statisticsWindow) + 1) /
			(s.furtherTrips.read(s.now, statisticsWindow) + 1)
		n.notBefore = s.now + n.grade.QuotedTime/16*Millis(1/successShare-1)
	}
	if !countsAsRun {
		s.delayUnconfirmed(n, e)
	}
	s.enqueue(n)
}

// mayStillBeRunning reports whether the receiver may still be processing the call after this result.
func mayStillBeRunning(result Result) bool {
	return result == TimedOut || result == Reset || result == Cancelled || result == Ambiguous
}

// countsAsNoTrip reports whether a result counts as no trip, because the call was not sent. NotSent counts as
// a trip, although its call was not sent either.
func countsAsNoTrip(result Result) bool { return result == LocalShortage || result == Recalled }

// pauseForShortage pauses all sending after a call could not be sent because this sender ran short of a
// resource: a connection, a file descriptor or space in its ledger. That says nothing about the notice or the
// destination. Each further pause is twice as long, up to a quarter of the overload time, until a notice is
// handled. So the sender neither retries without end during a shortage, nor waits long after it is over.
func (s *Sender) pauseForShortage() {
	if s.shortageUntil <= s.now {
		s.shortagePause = min(max(2*s.shortagePause, s.settings.OverloadTime/128), s.settings.OverloadTime/4)
		s.shortageUntil = s.now + s.shortagePause
	}
}

// recordCall applies the outcome of a call. The statistics count a call once, however many notices it
// carries.
func (s *Sender) recordCall(c *call, e TripEnded) {
	r := c.receiver.route
	if c.pendingOutcomes--; c.pendingOutcomes == 0 {
		s.slotsInUse--
		r.outstanding = slices.DeleteFunc(r.outstanding, func(o *call) bool { return o == c })
	}
	s.applyRequestedWait(r, e.RequestedWait)
	if c.pendingOutcomes == 0 && e.Result != Recalled && !s.keepsIdleConnection(c.receiver) {
		s.emit(CloseIdleConnections{c.receiver.id})
	}
	if c.recorded {
		return
	}
	c.recorded = true
	if !countsAsNoTrip(e.Result) {
		s.recordConnection(c, e)
	}
	if e.LimitReported {
		r.limitRate, r.limitRemaining = e.LimitRate/1000, e.LimitRemaining
		s.noteStateChange(r)
	}
	switch {
	case e.Result == Handled:
		s.shortagePause = 0
		s.addTokens(c.receiver, 2)
		s.updateDelayWindow(r, e.Duration)
		s.recordSuccess(r, c)
	case e.Result == Refused:
		s.addTokens(c.receiver, 1)
		s.recordRefusal(r, c, e.RequestedWait)
	case e.Result == NotSent || e.Result == Ambiguous || countsAsNoTrip(e.Result) ||
		e.Result == Cancelled && !c.cancelled,
		e.Result == TimedOut && c.timeoutShortened:
		s.addTokens(c.receiver, 1)
	default:
		s.recordFailure(r, c, e.Result)
	}
}

// recordConnection counts the calls and the lost ones separately for connections that had been idle and for
// all others. A call is lost if its connection was reset, or if no response came before the call timed out or
// was cancelled by this sender. For each kind of destination, recordConnection counts the refused
// connections.
func (s *Sender) recordConnection(c *call, e TripEnded) {
	reuseStats, kindStats := &s.busyConnections, &c.receiver.route.destination.kind.connections
	if c.onIdleConnection {
		reuseStats = &s.idleConnections
	}
	reuseStats.calls.add(s.now, statisticsWindow, 1)
	kindStats.calls.add(s.now, statisticsWindow, 1)
	if e.Result == NotConnected {
		kindStats.lost.add(s.now, statisticsWindow, 1)
	}
	if e.Result == Reset || c.cancelled || e.Result == TimedOut && !c.timeoutShortened {
		reuseStats.lost.add(s.now, statisticsWindow, 1)
	} else {
		c.receiver.lastResponseAt = s.now
	}
}

// recordSuccess applies a handled call to its route: it may end an outage or close the breaker.
func (s *Sender) recordSuccess(r *route, c *call) {
	r.lastResponseAt, r.consecutiveFailures, r.backoff = s.now, 0, 0
	r.recentHandled.add(s.now, s.settings.OverloadTime, 1)
	r.handledCalls.add(s.now, statisticsWindow, 1)
	r.limitShare = min(r.limitShare+1/(4*r.limitRate*float64(s.settings.OverloadTime)+1), 1)
	// A response to a call that was sent before the last sign of an outage does not show that the outage is
	// over.
	if c.sentAt >= r.lastOutageSignAt {
		if r.down || s.now-r.outageSince >= confirmingOverloadTimes*s.settings.OverloadTime {
			r.recoveredAt, r.outageDuration = s.now, max(s.now-r.outageSince, resetTimeout)
		}
		if r.outageSince != never {
			s.noteStateChange(r)
		}
		r.outageSince, r.down, r.outageConfirmed = never, false, false
	}
	if r.state == halfOpen && c.trial {
		if r.succeededTrials++; r.succeededTrials >= halfOpenMaxCalls {
			s.setBreakerState(r, closed, "trials succeeded")
		}
		return
	}
	s.recordOutcome(r, false)
}

// recordFailure applies a failed call to its route: it is a sign of an outage and may open the breaker.
func (s *Sender) recordFailure(r *route, c *call, result Result) {
	r.consecutiveFailures++
	r.recentFailed.add(s.now, s.settings.OverloadTime, 1)
	s.noteOutageSign(r, s.repeatsOutageSign(r, c),
		r.recentFailed.value >= max(r.recentHandled.read(s.now, s.settings.OverloadTime), 2))
	if result == Errored {
		r.lastResponseAt = s.now
	} else {
		r.delayWindow = max(r.delayWindow*windowDecrease, 1)
	}
	if r.state == halfOpen && c.trial {
		s.openBreaker(r, "a trial failed")
		return
	}
	s.recordOutcome(r, true)
}

// recordRefusal applies a refused call to its route. The reason may be the limit, a full queue, or that the
// destination is unavailable.
func (s *Sender) recordRefusal(r *route, c *call, wait Millis) {
	r.lastResponseAt = s.now
	// The pause grows with the number of senders that share a limit, so that together they get below it.
	destinationKind := r.destination.kind
	typicalWait := 2 * Millis(destinationKind.waitTotal.value+float64(s.settings.OverloadTime)/4) /
		Millis(destinationKind.waitCount.value+0.5)
	pause := min(typicalWait, Millis(float64(s.settings.Senders)/r.limitRate))
	if wait > 0 {
		destinationKind.waitTotal.add(s.now, statisticsWindow, float64(wait))
		destinationKind.waitCount.add(s.now, statisticsWindow, 1)
		r.waitUntil = max(r.waitUntil, s.now+wait+pause*Millis(s.random()))
	} else if c.sentAt >= r.lastReducedAt { // refusals of concurrent calls count as one
		r.backoff = max(2*r.backoff, pause, s.settings.OverloadTime/16)
		r.waitUntil = max(r.waitUntil, s.now+r.backoff*Millis(0.5+s.random()))
	}
	// A wait that is requested with much of the limit left, or a long one, does not come from the limit: the
	// destination is unavailable.
	unavailable := wait > 0 && r.limitRemaining > ampleLimitRemaining ||
		wait > confirmingOverloadTimes*s.settings.OverloadTime
	s.noteOutageSign(r, false, unavailable || s.repeatsOutageSign(r, c))
	if c.sentAt < r.lastReducedAt {
		return
	}
	r.lastReducedAt = s.now
	if r.limitRate > 0 && r.limitRemaining <= ampleLimitRemaining {
		r.limitShare = max(r.limitShare*limitShareDecrease, minLimitShare)
	} else {
		r.delayWindow = max(r.delayWindow*windowDecrease, 1)
	}
}
