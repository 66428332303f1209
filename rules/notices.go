package rules

import (
	"cmp"
	"math"
	"slices"
)

// This file follows notices from their acceptance to their final answer: how much credit they are worth, and
// which of them are ended without delivery, and when.

// acceptNotice adds a notice to the hold. A notice of an unknown grade earns no credit.
func (s *Sender) acceptNotice(e NoticeAccepted) {
	g := &grade{Grade: Grade{ClientTimeout: e.TimeLeft, QuotedTime: e.TimeLeft}}
	if int(e.Grade) < len(s.grades) {
		g = s.grades[e.Grade]
	}
	n := &notice{id: e.Notice, grade: g, destination: s.destination(e.Destination),
		acceptedAt: s.now,
		expiresAt:  s.now + e.TimeLeft,
		spaceShare: e.SpaceShare}
	n.surelyInTimeUntil = n.expiresAt - max(e.Waited, s.settings.MaxPause)
	n.submittedAt = n.expiresAt - g.ClientTimeout
	n.quotedUntil = n.submittedAt + g.QuotedTime
	n.credit = g.Credit * s.portfolioFactor(e.Portfolio)
	n.trips, n.possibleRuns, n.mayHaveRun, n.firstRunAt, n.runZone =
		e.Trips, e.PossibleRuns, e.PossibleRuns > 0, s.now-e.FirstRunAgo, e.FirstRunZone
	if e.Inherited && g.Repeat == Numbered {
		// The notice may have run since its submission, at a receiver that the event does not name.
		// At-most-once notices that may have run are never passed to another sender.
		n.mayHaveRun, n.zoneUnknown, n.firstRunAt = true, true, n.submittedAt
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

// portfolioFactor returns the factor by which the credit of a portfolio's notices counts now. It falls
// towards Settings.OverQuotaWeight as the portfolio exceeds this sender's part of its quota.
func (s *Sender) portfolioFactor(p PortfolioID) float64 {
	if int(p) >= len(s.portfolioNotices) {
		return 1
	}
	timeConstant := s.settings.WarmUpTime
	s.portfolioNotices[p].add(s.now, timeConstant, 1)
	quota := s.settings.Quotas[p] * float64(timeConstant) / 1000 / float64(max(s.settings.Senders, 1))
	withinShare := min(1, quota/s.portfolioNotices[p].value)
	return s.settings.OverQuotaWeight + (1-s.settings.OverQuotaWeight)*withinShare
}

// updateGradeWeights sets the weight of each grade from the two goals of the deployment: the total credit,
// and the earned share of the credit in the grade with the lowest share. The second goal keeps the grade with
// the least credit from giving way to all others.
func (s *Sender) updateGradeWeights() {
	var totalCredit, weightSum float64
	for _, g := range s.grades {
		requested := 1 + g.requestedCredit.read(s.now, statisticsWindow)
		g.weight = math.Exp(-(1 + g.earnedCredit.read(s.now, statisticsWindow)) /
			requested / earnedShareScale)
		totalCredit, weightSum = totalCredit+requested, weightSum+g.weight
	}
	for _, g := range s.grades {
		g.weight = s.settings.TotalCreditWeight +
			s.settings.WorstGradeWeight*g.weight/weightSum*totalCredit/(1+g.requestedCredit.value)
	}
}

// finish ends a notice without delivery; no other function does. A dismissal promises that a repeat is
// harmless, so a notice that may have run is broken off instead.
func (s *Sender) finish(n *notice, retryAt Millis, forSpace bool) {
	n.grade.requestedCredit.add(s.now, statisticsWindow, n.credit)
	if n.mayHaveRun || n.currentCall != nil || s.now < n.unconfirmedUntil {
		s.emit(BreakOff{n.id})
	} else {
		d := Dismiss{Notice: n.id, ForSpace: forSpace}
		if s.settings.RetryAfter && retryAt > s.now && retryAt < never {
			d.RetryAfter = min(retryAt-s.now, s.settings.MaxRetryAfter)
		}
		s.emit(d)
	}
	s.releaseNotice(n)
}

// answerBy returns the latest time for the final answer of a notice. It lies three ticks before the client
// timeout, because a timer may fire a tick late.
func (s *Sender) answerBy(n *notice) Millis { return n.expiresAt - 3*s.settings.Tick }

// ResponseMayBeLate reports whether a response that is read now may have come after the client timeout of its
// notice. Such a response is no delivery, so the notice still needs a final answer.
func (s *Sender) ResponseMayBeLate(id NoticeID, now Millis) bool {
	n := s.notices[id]
	return n != nil && now > n.surelyInTimeUntil
}

// endUndeliverable ends the notices that can no longer be delivered in time, or that have used all their
// trips.
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
	slices.SortFunc(undeliverable, func(a, b *notice) int {
		return cmp.Compare(a.acceptOrder, b.acceptOrder)
	})
	for _, n := range undeliverable {
		s.finish(n, n.sendableAt, false)
	}
}

// earliestSend returns the earliest time at which the rules allow a notice to be sent, as far as is known.
func (s *Sender) earliestSend(n *notice) Millis {
	d, at := s.examine(n.destination), never
	switch {
	case !n.mayHaveRun && !d.listed:
		return s.now
	case !n.mayHaveRun && n.key == 0:
		return max(d.unrestrictedSendableAt, s.delayedUntil(n))
	}
	for _, r := range n.destination.routes {
		for _, rc := range r.receivers {
			at = min(at, s.allowedAt(n, rc))
		}
	}
	if at == never && s.mayBeRepeated(n) && s.listWaitEnd(n) > s.now {
		return s.listWaitEnd(n) // discovery may list a receiver that may get it
	}
	return at
}

// examine computes, once per turn, when an unrestricted notice may be sent to a destination, and whether the
// destination accepts one now. With many held notices and few destinations that accept any, checking each
// notice would make a turn too slow.
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

// accepts reports whether an unrestricted notice may be sent to a route now.
func (s *Sender) accepts(r *route) bool {
	sendable := func(rc *receiver) bool { return rc.status == Ready && s.addTokens(rc, 0) >= 1 }
	availableAt := max(s.routeAvailableAt(r), s.nextCallAt(r))
	return availableAt <= s.now && s.hasSlotFor(r) && slices.ContainsFunc(r.receivers, sendable)
}

// expectedFurtherOutage estimates how much longer a destination stays down: as long again as it has been
// down, which is typical of outages.
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

// nearlyFull reports whether the held notices nearly reach the hold limit, or take nearly all space of this
// sender (memory and ledger).
func (s *Sender) nearlyFull() bool {
	limit := s.settings.HoldLimit
	return limit > 0 && float64(s.heldCount) > nearlyFullShare*float64(limit) || s.usedSpace > nearlyFullShare
}

// freeSpace dismisses the notices with the lowest expected credit when the hold is nearly full, so that
// notices for unavailable destinations do not cause the rejection of new notices for other destinations. The
// clients of dismissed notices may submit them again.
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
