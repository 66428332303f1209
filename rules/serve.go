package rules

import (
	"cmp"
	"slices"
)

// Which notice goes next, where to, and when to wake for the next.

// serve sends what may be sent, the most urgent first.
func (s *Sender) sendNotices() {
	var ready []*notice
	for _, d := range s.waitingDestinations {
		if !s.examine(d).accepting {
			continue
		}
		for _, n := range d.waiting {
			n.urgency = n.grade.weight * (s.creditAt(n, s.now) - deferralDiscount*s.creditAt(n, s.now+n.grade.QuotedTime))
			ready = append(ready, n)
		}
	}
	slices.SortFunc(ready, byUrgency)
	for _, reissuableOnly := range []bool{true, false} {
		for _, n := range ready {
			d := n.destination
			if n.currentCall == nil && d.fullInTurn != s.turnNumber && !s.sendToBest(n, reissuableOnly) && d.kind.PerCall <= 1 &&
				!slices.ContainsFunc(d.routes, s.accepts) {
				d.fullInTurn = s.turnNumber // whatever else is held for it, it takes no more in this turn
			}
		}
	}
	if len(s.waitingDestinations) > 0 && (s.slotsInUse >= s.settings.Slots || s.suspectSlots >= s.maxSuspectSlots) {
		s.cancelOverdueCall()
	}
}

// byUrgency puts the most urgent first, and of equal ones the one taken first.
func byUrgency(a, b *notice) int {
	return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.acceptOrder, b.acceptOrder))
}

// freeSlot guards against calls that are swallowed and hold every slot until they time out: when slots run
// out, or those for doubtful routes, the call that is most overdue is called off. Where a quarter of them
// wait for calls that are overdue by what calls take (at a route that has answered none: by what they take
// elsewhere), answers get lost, and a quoted time is too long.
func (s *Sender) cancelOverdueCall() {
	var mostOverdue, slowest *call
	maxAge, maxDelayAge, slowCalls := cancelAge, cancelAge, 0
	for _, r := range s.activeRoutes() {
		for _, c := range r.outstanding {
			if c.cancelled {
				return // its slot is about to be free
			}
			if age := float64((s.now - c.sentAt) / c.overdueAfter); age > maxAge {
				mostOverdue, maxAge = c, age
			}
			delayAge := float64((s.now - c.sentAt) / (overdueDelays * cmp.Or(r.meanDelay, s.meanDelay, never)))
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
	if mostOverdue == nil || !s.settings.CallOff {
		return
	}
	mostOverdue.cancelled = true
	for _, n := range mostOverdue.notices {
		s.emit(CallOff{n.id, n.trips - 1})
	}
}

// offer sends a notice to the best receiver that the gate lets it go to. Equal ones rank by this sender's
// lot: if all took the first of a list, its connections would run out. One where its grade failed comes last.
// To a route that loses calls, reissuable notices go first: what they find out costs nothing.
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

// joins is the call begun in this turn that a further notice for a receiver would travel on.
func (s *Sender) joinableCall(rc *receiver) *call {
	for _, c := range s.newCalls {
		if c.receiver == rc && len(c.notices) < rc.route.destination.kind.PerCall {
			return c
		}
	}
	return nil
}

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
		rc.recentCalls.add(s.now, s.settings.IdleKept, 1)
		s.advancePace(r)
		hasCallOut := slices.ContainsFunc(r.outstanding, func(o *call) bool { return o.receiver == rc })
		c.onIdleConnection = hasCallOut || s.now-rc.lastResponseAt > s.settings.Fall/4
		if c.onIdleConnection && s.distrustsIdleConnections() {
			c.onIdleConnection = false
			s.emit(LetGo{rc.id})
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

// timeOut is how long a trip may take: longer where calls are slow, and with each trip that ran, as the
// notice may be slow itself. What must not run twice is lost with a time-out, so it waits longer.
func (s *Sender) tripTimeout(n *notice, r *route) Millis {
	timeout := max(n.grade.QuotedTime, overdueDelays*r.meanDelay) * Millis(1+n.possibleRuns)
	if n.grade.Repeat == AtMostOnce {
		timeout *= 3
	}
	return min(timeout, s.answerBy(n)-s.now)
}

// setTimer asks to be woken when the next thing may be due that no other event brings.
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
		next = min(next, s.now+s.settings.Fall/4) // a return quickens the pace, and credits come back
		for _, r := range d.routes {
			if at := s.nextCallAt(r); at > s.now {
				next = min(next, at)
			}
		}
	}
	if s.slotsInUse > 0 {
		next = min(next, s.now+s.settings.Fall/8)
	}
	if s.timerAt < s.now+s.settings.Tick/2 { // the wire's clock may round it to just before its time
		s.timerAt = never
	}
	if next = max(next, s.now+s.settings.Tick); next < s.timerAt {
		s.timerAt = next
		s.emit(SetTimer{After: next - s.now})
	}
}
