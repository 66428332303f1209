package rules

import (
	"cmp"
	"slices"
)

// This file chooses the notices to send and their receivers, and sets the timer for the next turn.

// sendNotices sends the notices that may be sent now, the most urgent first. At routes that lose calls,
// reissuable notices come before all others; see sendToBest.
func (s *Sender) sendNotices() {
	var ready []*notice
	for _, d := range s.waitingDestinations {
		if !s.examine(d).accepting {
			continue
		}
		for _, n := range d.waiting {
			n.urgency = n.grade.weight *
				(s.creditAt(n, s.now) - deferralDiscount*s.creditAt(n, s.now+n.grade.QuotedTime))
			ready = append(ready, n)
		}
	}
	slices.SortFunc(ready, byUrgency)
	for _, reissuableOnly := range []bool{true, false} {
		for _, n := range ready {
			d := n.destination
			if n.currentCall == nil && d.fullInTurn != s.turnNumber &&
				!s.sendToBest(n, reissuableOnly) && d.kind.PerCall <= 1 &&
				!slices.ContainsFunc(d.routes, s.accepts) {
				d.fullInTurn = s.turnNumber // none of its other notices can be sent in this turn either
			}
		}
	}
	if len(s.waitingDestinations) > 0 &&
		(s.slotsInUse >= s.settings.Slots || s.suspectSlots >= s.maxSuspectSlots) {
		s.cancelOverdueCall()
	}
}

// byUrgency orders notices by descending urgency, and equally urgent ones by their acceptance.
func byUrgency(a, b *notice) int {
	return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.acceptOrder, b.acceptOrder))
}

// cancelOverdueCall cancels the most overdue call when the slots run out, or those for suspect routes. So
// calls without a response do not use every slot until they time out. Usually the call with the highest age
// relative to its overdueAfter is cancelled. But overdueAfter is at least half a quoted time, which is too
// long when responses get lost. Several calls that use a quarter of the slots, and have each waited for more
// than overdueDelays mean delays, show such a loss: then the call that has waited for the most mean delays is
// cancelled. The mean delay is that of the call's route, or of all routes if its own has handled no call. A
// call is cancelled only if its age, measured in either way, is above cancelAge.
func (s *Sender) cancelOverdueCall() {
	var mostOverdue, slowest *call
	maxAge, maxDelayAge, slowCalls := cancelAge, cancelAge, 0
	for _, r := range s.activeRoutes() {
		for _, c := range r.outstanding {
			if c.cancelled {
				return // a slot will be free soon
			}
			if age := float64((s.now - c.sentAt) / c.overdueAfter); age > maxAge {
				mostOverdue, maxAge = c, age
			}
			delayAge := float64((s.now - c.sentAt) /
				(overdueDelays * cmp.Or(r.meanDelay, s.meanDelay, never)))
			if delayAge > 1 {
				slowCalls++
			}
			if delayAge > maxDelayAge {
				slowest, maxDelayAge = c, delayAge
			}
		}
	}
	if slowCalls > 1 && 4*slowCalls >= s.settings.Slots {
		mostOverdue = slowest
	}
	if mostOverdue == nil || !s.settings.CancelTrips {
		return
	}
	mostOverdue.cancelled = true
	for _, n := range mostOverdue.notices {
		s.emit(CancelTrip{n.id, n.trips - 1})
	}
}

// sendToBest sends a notice to the best receiver that maySend allows, and reports whether there is one. Equal
// receivers rank by a random tie-break of this sender: if all senders chose the first one of the list, it
// would run out of connections. Receivers where the grade of the notice failed rank last. With
// reissuableOnly, only reissuable notices are sent to routes that lose calls: they may be repeated, so they
// test the route without harm.
func (s *Sender) sendToBest(n *notice, reissuableOnly bool) bool {
	var best *receiver
	var bestScore float64
	for _, r := range n.destination.routes {
		if reissuableOnly && r.losingCalls() && n.grade.Repeat != Reissuable {
			continue
		}
		for _, rc := range r.receivers {
			if !s.maySend(n, rc) {
				continue
			}
			score := s.addTokens(rc, 0) - rc.fee*100*s.maxTokens - float64(len(r.outstanding)) + rc.tieBreak
			score -= float64(2*s.settings.Slots) * rc.gradeFailures(n.grade).read(s.now, statisticsWindow)
			if s.joinableCall(rc) != nil {
				score += float64(s.settings.Slots)
			}
			if best == nil || score > bestScore {
				best, bestScore = rc, score
			}
		}
	}
	if best != nil {
		s.sendTo(n, best)
	}
	return best != nil
}

// joinableCall returns the call begun in this turn that can carry a further notice to a receiver, or nil.
func (s *Sender) joinableCall(rc *receiver) *call {
	for _, c := range s.newCalls {
		if c.receiver == rc && len(c.notices) < rc.route.destination.kind.PerCall {
			return c
		}
	}
	return nil
}

// sendTo sends a notice to a receiver, on a call of this turn that can carry it or on a new one.
func (s *Sender) sendTo(n *notice, rc *receiver) {
	r, c := rc.route, s.joinableCall(rc)
	if c == nil {
		overdueAfter := max(overdueDelays*r.meanDelay, n.grade.QuotedTime/2)
		if r.meanDelay == 0 {
			overdueAfter = n.grade.QuotedTime
		}
		c = &call{receiver: rc, sentAt: s.now, trial: r.state == halfOpen, overdueAfter: overdueAfter,
			timeoutShortened: s.answerBy(n)-s.now < n.grade.QuotedTime}
		s.newCalls = append(s.newCalls, c)
		s.slotsInUse++
		rc.tokens--
		rc.recentCalls.add(s.now, s.settings.IdleTimeout, 1)
		s.advancePace(r)
		hasOutstandingCall := slices.ContainsFunc(r.outstanding,
			func(o *call) bool { return o.receiver == rc })
		c.onIdleConnection = hasOutstandingCall || s.now-rc.lastResponseAt > s.settings.OverloadTime/4
		if c.onIdleConnection && s.distrustsIdleConnections() {
			c.onIdleConnection = false
			s.emit(CloseIdleConnections{rc.id})
		}
		if r.outstanding = append(r.outstanding, c); s.suspect(r) {
			s.suspectSlots++
		}
		s.activate(r)
	}
	c.notices = append(c.notices, n)
	c.pendingOutcomes++
	n.currentCall = c
	s.dequeue(n)
	n.trips++
	s.emit(Send{n.id, rc.id, s.tripTimeout(n, r)})
}

// tripTimeout returns the timeout of a trip. It is longer where calls are slow, and grows with each trip that
// may have run, because the notice itself may be slow to process. A notice that must not run twice is lost
// when its trip times out, so its timeout is three times as long.
func (s *Sender) tripTimeout(n *notice, r *route) Millis {
	timeout := max(n.grade.QuotedTime, overdueDelays*r.meanDelay) * Millis(1+n.possibleRuns)
	if n.grade.Repeat == AtMostOnce {
		timeout *= 3
	}
	return min(timeout, s.answerBy(n)-s.now)
}

// setTimer sets the timer to the next time at which a decision may be due without any other event.
func (s *Sender) setTimer() {
	next := s.watchListAt
	if len(s.waitingDestinations) > 0 && s.shortageUntil > s.now {
		next = min(next, s.shortageUntil)
	}
	for _, d := range s.waitingDestinations {
		earliest := never
		consider := func(answerBy, at Millis) {
			next, earliest = min(next, answerBy), min(earliest, at)
			if at > s.now {
				next = min(next, at)
			}
		}
		if s.examine(d); len(d.unrestricted) > 0 {
			consider(s.answerBy(d.unrestricted[0]), d.unrestrictedSendableAt)
		}
		for _, n := range d.restricted {
			consider(s.answerBy(n), s.earliestSend(n))
		}
		if earliest > s.now {
			continue
		}
		next = min(next, s.now+s.settings.OverloadTime/4) // a recovery raises the rate, and tokens refill
		for _, r := range d.routes {
			if at := s.nextCallAt(r); at > s.now {
				next = min(next, at)
			}
		}
	}
	if s.slotsInUse > 0 {
		next = min(next, s.now+s.settings.OverloadTime/8)
	}
	if s.timerAt < s.now+s.settings.Tick/2 { // it is due: the caller may round times down
		s.timerAt = never
	}
	if next = max(next, s.now+s.settings.Tick); next < s.timerAt {
		s.timerAt = next
		s.emit(SetTimer{After: next - s.now})
	}
}
