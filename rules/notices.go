package rules

import (
	"cmp"
	"math"
	"slices"
)

// Notices from their coming to their final answer: what they are worth, and which are ended when.

func (s *Sender) acceptNotice(e NoticeTaken) {
	g := &grade{Grade: Grade{ClientTimeout: e.Left, QuotedTime: e.Left}}
	if int(e.Grade) < len(s.grades) {
		g = s.grades[e.Grade]
	}
	n := &notice{id: e.Notice, grade: g, destination: s.destination(e.Destination), expiresAt: s.now + e.Left,
		spaceShare: e.Room}
	n.surelyInTimeUntil = n.expiresAt - max(e.Waited, s.settings.Stall)
	submittedAt := n.expiresAt - g.ClientTimeout
	n.quotedUntil = submittedAt + g.QuotedTime
	n.credit = g.Credit * s.portfolioFactor(e.Portfolio)
	n.trips, n.possibleRuns, n.mayHaveRun, n.firstRunAt, n.runZone = e.Trips, e.Ran, e.Ran > 0, s.now-e.RanAgo, e.RanZone
	if e.Inherited && g.Repeat == Numbered {
		// It may have run, at a receiver that is not told and from its hand-in on. At-most-once notices
		// that may have run are never handed on.
		n.mayHaveRun, n.zoneUnknown, n.firstRunAt = true, true, submittedAt
	}
	if e.Key != 0 && g.InOrder {
		n.key = e.Key
		if s.keys[n.key] == nil {
			s.keys[n.key] = &keyQueue{}
		}
		s.keys[n.key].notices = append(s.keys[n.key].notices, n)
	}
	s.holdNotice(n)
}

// shareWorth is what a portfolio's credit counts now: less as this sender's part of its share is passed.
func (s *Sender) portfolioFactor(p PortfolioID) float64 {
	if int(p) >= len(s.portfolioNotices) {
		return 1
	}
	timeConstant := s.settings.WarmWithin
	s.portfolioNotices[p].add(s.now, timeConstant, 1)
	quota := s.settings.Quotas[p] * float64(timeConstant) / 1000 / float64(max(s.settings.Senders, 1))
	withinShare := min(1, quota/s.portfolioNotices[p].value)
	return s.settings.OverShare + (1-s.settings.OverShare)*withinShare
}

// weighGrades gives each grade its weight in what the deployment aims for: the credit of the whole, and of
// the grade served worst. It guards against giving up the grade with the least credit for all others.
func (s *Sender) updateGradeWeights() {
	var totalCredit, weightSum float64
	for _, g := range s.grades {
		requested := 1 + g.requestedCredit.read(s.now, statisticsWindow)
		g.weight = math.Exp(-(1 + g.earnedCredit.read(s.now, statisticsWindow)) / requested / servedShareScale)
		totalCredit, weightSum = totalCredit+requested, weightSum+g.weight
	}
	for _, g := range s.grades {
		g.weight = s.settings.WholeGoal + s.settings.WorstGoal*g.weight/weightSum*totalCredit/(1+g.requestedCredit.value)
	}
}

// end is the one place that gives a final answer. A dismissal tells that a repeat is harmless, so what may
// have run is broken off.
func (s *Sender) finish(n *notice, retryAt Millis, forSpace bool) {
	n.grade.requestedCredit.add(s.now, statisticsWindow, n.credit)
	if n.mayHaveRun || n.currentCall != nil || s.now < n.unconfirmedUntil {
		s.emit(BreakOff{n.id})
	} else {
		d := Dismiss{Notice: n.id, ForRoom: forSpace}
		if s.settings.RetryAfter && retryAt > s.now && retryAt < never {
			d.RetryAfter = min(retryAt-s.now, s.settings.RetryMost)
		}
		s.emit(d)
	}
	s.releaseNotice(n)
}

// lastCall is when a notice has its final answer at the latest; a timer may land a tick late.
func (s *Sender) answerBy(n *notice) Millis { return n.expiresAt - 3*s.settings.Tick }

// AnswerMayBeLate tells whether an answer that is heard now may have come after its notice's client timeout.
// Such a notice needs a final answer all the same: what came too late was no delivery.
func (s *Sender) AnswerMayBeLate(id NoticeID, now Millis) bool {
	n := s.notices[id]
	return n != nil && now > n.surelyInTimeUntil
}

// giveUp ends what can no longer be handled, at once.
func (s *Sender) endUndeliverable() {
	var undeliverable []*notice
	for _, d := range s.waitingDestinations {
		s.examine(d)
		s.moveToUnrestricted(d)
		for _, n := range d.restricted {
			n.sendableAt = s.earliestSend(n)
			if max(n.sendableAt, s.now) >= s.answerBy(n) || n.trips >= s.settings.TripLimit {
				undeliverable = append(undeliverable, n)
			}
		}
		for len(d.unrestricted) > 0 && d.unrestrictedSendableAt >= s.answerBy(d.unrestricted[0]) {
			n := d.popUnrestricted()
			n.sendableAt = d.unrestrictedSendableAt
			undeliverable = append(undeliverable, n)
		}
	}
	slices.SortFunc(undeliverable, func(a, b *notice) int { return cmp.Compare(a.acceptOrder, b.acceptOrder) })
	for _, n := range undeliverable {
		s.finish(n, n.sendableAt, false)
	}
}

// opensAt is the earliest time at which the rules may let a notice go, as far as that is known.
func (s *Sender) earliestSend(n *notice) Millis {
	d, at := s.examine(n.destination), never
	switch {
	case !n.mayHaveRun && !d.listed:
		return s.now
	case !n.mayHaveRun && n.key == 0:
		return max(d.unrestrictedSendableAt, n.notBefore)
	}
	for _, r := range n.destination.routes {
		for _, rc := range r.receivers {
			at = min(at, s.allowedAt(n, rc))
		}
	}
	return at
}

// look finds out, once a turn, when a destination may take a notice that nothing holds back, and whether it
// may take one now: with many notices held for few that may, a turn must not ask for each of them.
func (s *Sender) examine(d *destination) *destination {
	if d.examinedInTurn == s.turnNumber {
		return d
	}
	d.examinedInTurn, d.listed, d.accepting, d.availableAt = s.turnNumber, false, false, never
	for _, r := range d.routes {
		if slices.ContainsFunc(r.receivers, func(rc *receiver) bool { return rc.status == Ready }) {
			d.listed, d.availableAt = true, min(d.availableAt, s.routeAvailableAt(r))
		}
		d.accepting = d.accepting || s.accepts(r)
	}
	if d.unrestrictedSendableAt = d.availableAt; !d.listed {
		d.unrestrictedSendableAt = s.now
	}
	return d
}

// takes tells whether a route may be sent a notice now that nothing holds back.
func (s *Sender) accepts(r *route) bool {
	sendable := func(rc *receiver) bool { return rc.status == Ready && s.addTokens(rc, 0) >= 1 }
	availableAt := max(s.routeAvailableAt(r), s.nextCallAt(r))
	return availableAt <= s.now && s.hasSlotFor(r) && slices.ContainsFunc(r.receivers, sendable)
}

// outlook is how much longer than known a destination may stay away: as long again as it has, as outages go.
func (s *Sender) expectedFurtherOutage(d *destination) Millis {
	shortest := Millis(0)
	for i, r := range d.routes {
		if !r.down {
			return 0
		}
		if outage := s.now - r.outageSince; i == 0 || outage < shortest {
			shortest = outage
		}
	}
	return shortest
}

// crowded tells whether what is held nearly fills the hold limit, or this sender's own room for it.
func (s *Sender) nearlyFull() bool {
	limit := s.settings.HoldLimit
	return limit > 0 && float64(s.heldCount) > nearlyFullShare*float64(limit) || s.usedSpace > nearlyFullShare
}

// makeRoom guards against a hold full of notices that wait for shut destinations: those that promise least go
// back to their clients, which may come again, before newcomers for others are turned away unseen.
func (s *Sender) freeSpace() {
	if !s.nearlyFull() {
		return
	}
	var candidates []*notice
	for _, d := range s.waitingDestinations {
		for _, n := range d.waiting {
			if !n.mayHaveRun {
				n.sendableAt = s.earliestSend(n)
				n.urgency = n.grade.weight * s.creditAt(n, n.sendableAt+s.expectedFurtherOutage(d))
				candidates = append(candidates, n)
			}
		}
	}
	slices.SortFunc(candidates, func(a, b *notice) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.acceptOrder, b.acceptOrder))
	})
	for i := 0; i < len(candidates) && s.nearlyFull(); i++ {
		s.finish(candidates[i], candidates[i].sendableAt, true)
	}
}
