package rules

import (
	"cmp"
	"math"
	"slices"
)

// Notices from their coming to their final answer: what they are worth, and which are ended when.

func (s *Sender) take(e NoticeTaken) {
	g := &grade{Grade: Grade{ClientTimeout: e.Left, QuotedTime: e.Left}}
	if int(e.Grade) < len(s.grades) {
		g = s.grades[e.Grade]
	}
	n := &notice{id: e.Notice, grade: g, destination: s.destination(e.Destination), until: s.now + e.Left,
		room: e.Room}
	n.surelyUntil = n.until - max(e.Waited, s.settings.Stall)
	handedIn := n.until - g.ClientTimeout
	n.quotedAt = handedIn + g.QuotedTime
	n.credit = g.Credit * s.shareWorth(e.Portfolio)
	n.trips, n.ran, n.mayHaveRun, n.ranAt, n.ranZone = e.Trips, e.Ran, e.Ran > 0, s.now-e.RanAgo, e.RanZone
	if e.Inherited && g.Repeat == Numbered {
		// It may have run, at a receiver that is not told and from its hand-in on. At-most-once notices
		// that may have run are never handed on.
		n.mayHaveRun, n.zoneUnknown, n.ranAt = true, true, handedIn
	}
	if e.Key != 0 && g.InOrder {
		n.key = e.Key
		if s.keys[n.key] == nil {
			s.keys[n.key] = &keyLine{}
		}
		s.keys[n.key].line = append(s.keys[n.key].line, n)
	}
	s.hold(n)
}

// shareWorth is what a portfolio's credit counts now: less as this sender's part of its share is passed.
func (s *Sender) shareWorth(p PortfolioID) float64 {
	if int(p) >= len(s.portfolios) {
		return 1
	}
	span := s.settings.WarmWithin
	s.portfolios[p].add(s.now, span, 1)
	quota := s.settings.Quotas[p] * float64(span) / 1000 / float64(max(s.settings.Senders, 1))
	within := min(1, quota/s.portfolios[p].value)
	return s.settings.OverShare + (1-s.settings.OverShare)*within
}

// weighGrades gives each grade its weight in what the deployment aims for: the credit of the whole, and of
// the grade served worst. It guards against giving up the grade with the least credit for all others.
func (s *Sender) weighGrades() {
	var total, worst float64
	for _, g := range s.grades {
		asked := 1 + g.asked.read(s.now, statisticsWindow)
		g.weight = math.Exp(-(1 + g.earned.read(s.now, statisticsWindow)) / asked / closeServed)
		total, worst = total+asked, worst+g.weight
	}
	for _, g := range s.grades {
		g.weight = s.settings.WholeGoal + s.settings.WorstGoal*g.weight/worst*total/(1+g.asked.value)
	}
}

// end is the one place that gives a final answer. A dismissal tells that a repeat is harmless, so what may
// have run is broken off.
func (s *Sender) end(n *notice, back Millis, forRoom bool) {
	n.grade.asked.add(s.now, statisticsWindow, n.credit)
	if n.mayHaveRun || n.out != nil || s.now < n.unconfirmedUntil {
		s.do(BreakOff{n.id})
	} else {
		d := Dismiss{Notice: n.id, ForRoom: forRoom}
		if s.settings.RetryAfter && back > s.now && back < never {
			d.RetryAfter = min(back-s.now, s.settings.RetryMost)
		}
		s.do(d)
	}
	s.forget(n)
}

// lastCall is when a notice has its final answer at the latest; a timer may land a tick late.
func (s *Sender) lastCall(n *notice) Millis { return n.until - 3*s.settings.Tick }

// AnswerMayBeLate tells whether an answer that is heard now may have come after its notice's client timeout.
// Such a notice needs a final answer all the same: what came too late was no delivery.
func (s *Sender) AnswerMayBeLate(id NoticeID, now Millis) bool {
	n := s.notices[id]
	return n != nil && now > n.surelyUntil
}

// giveUp ends what can no longer be handled, at once.
func (s *Sender) giveUp() {
	var late []*notice
	for _, d := range s.waiting {
		s.look(d)
		s.rested(d)
		for _, n := range d.special {
			n.opens = s.opensAt(n)
			if max(n.opens, s.now) >= s.lastCall(n) || n.trips >= s.settings.TripLimit {
				late = append(late, n)
			}
		}
		for len(d.plain) > 0 && d.plainAt >= s.lastCall(d.plain[0]) {
			n := d.nextPlain()
			n.opens = d.plainAt
			late = append(late, n)
		}
	}
	slices.SortFunc(late, func(a, b *notice) int { return cmp.Compare(a.order, b.order) })
	for _, n := range late {
		s.end(n, n.opens, false)
	}
}

// opensAt is the earliest time at which the rules may let a notice go, as far as that is known.
func (s *Sender) opensAt(n *notice) Millis {
	d, at := s.look(n.destination), never
	switch {
	case !n.mayHaveRun && !d.listed:
		return s.now
	case !n.mayHaveRun && n.key == 0:
		return max(d.plainAt, n.restUntil)
	}
	for _, r := range n.destination.routes {
		for _, rc := range r.receivers {
			at = min(at, s.passesAt(n, rc))
		}
	}
	return at
}

// look finds out, once a turn, when a destination may take a notice that nothing holds back, and whether it
// may take one now: with many notices held for few that may, a turn must not ask for each of them.
func (s *Sender) look(d *destination) *destination {
	if d.lookedAt == s.turns {
		return d
	}
	d.lookedAt, d.listed, d.takes, d.opensAt = s.turns, false, false, never
	for _, r := range d.routes {
		if slices.ContainsFunc(r.receivers, func(rc *receiver) bool { return rc.standing == Ready }) {
			d.listed, d.opensAt = true, min(d.opensAt, s.routeOpensAt(r))
		}
		d.takes = d.takes || s.takes(r)
	}
	if d.plainAt = d.opensAt; !d.listed {
		d.plainAt = s.now
	}
	return d
}

// takes tells whether a route may be sent a notice now that nothing holds back.
func (s *Sender) takes(r *route) bool {
	may := func(rc *receiver) bool { return rc.standing == Ready && s.earn(rc, 0) >= 1 }
	opens := max(s.routeOpensAt(r), s.paceAt(r))
	return opens <= s.now && s.roomFor(r) && slices.ContainsFunc(r.receivers, may)
}

// outlook is how much longer than known a destination may stay away: as long again as it has, as outages go.
func (s *Sender) outlook(d *destination) Millis {
	least := Millis(0)
	for i, r := range d.routes {
		if !r.down {
			return 0
		}
		if away := s.now - r.badSince; i == 0 || away < least {
			least = away
		}
	}
	return least
}

// crowded tells whether what is held nearly fills the hold limit, or this sender's own room for it.
func (s *Sender) crowded() bool {
	limit := s.settings.HoldLimit
	return limit > 0 && float64(s.held) > nearlyFull*float64(limit) || s.roomTaken > nearlyFull
}

// makeRoom guards against a hold full of notices that wait for shut destinations: those that promise least go
// back to their clients, which may come again, before newcomers for others are turned away unseen.
func (s *Sender) makeRoom() {
	if !s.crowded() {
		return
	}
	var stuck []*notice
	for _, d := range s.waiting {
		for _, n := range d.waiting {
			if !n.mayHaveRun {
				n.opens = s.opensAt(n)
				n.urgency = n.grade.weight * s.worth(n, n.opens+s.outlook(d))
				stuck = append(stuck, n)
			}
		}
	}
	slices.SortFunc(stuck, func(a, b *notice) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.order, b.order))
	})
	for i := 0; i < len(stuck) && s.crowded(); i++ {
		s.end(stuck[i], stuck[i].opens, true)
	}
}
