package rules

import (
	"cmp"
	"slices"
)

// Which notice goes next, where to, and when to wake for the next.

// serve sends what may be sent, the most urgent first.
func (s *Sender) serve() {
	var ready []*notice
	for _, d := range s.waiting {
		if !s.look(d).takes {
			continue
		}
		for _, n := range d.waiting {
			n.urgency = n.grade.weight * (s.worth(n, s.now) - foresight*s.worth(n, s.now+n.grade.QuotedTime))
			ready = append(ready, n)
		}
	}
	slices.SortFunc(ready, byUrgency)
	for _, reissuableOnly := range []bool{true, false} {
		for _, n := range ready {
			d := n.destination
			if n.out == nil && d.fullAt != s.turns && !s.offer(n, reissuableOnly) && d.kind.PerCall <= 1 &&
				!slices.ContainsFunc(d.routes, s.takes) {
				d.fullAt = s.turns // whatever else is held for it, it takes no more in this turn
			}
		}
	}
	if len(s.waiting) > 0 && (s.slotsOut >= s.settings.Slots || s.doubtOut >= s.doubted) {
		s.freeSlot()
	}
}

// byUrgency puts the most urgent first, and of equal ones the one taken first.
func byUrgency(a, b *notice) int {
	return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.order, b.order))
}

// freeSlot guards against calls that are swallowed and hold every slot until they time out: when slots run
// out, or those for doubtful routes, the call that is most overdue is called off. Where a quarter of them
// wait for calls that are overdue by what calls take (at a route that has answered none: by what they take
// elsewhere), answers get lost, and a quoted time is too long.
func (s *Sender) freeSlot() {
	var worst, lost *call
	most, mostLost, late := hopeless, hopeless, 0
	for _, r := range s.stirring() {
		for _, c := range r.out {
			if c.off {
				return // its slot is about to be free
			}
			if age := float64((s.now - c.sentAt) / c.patience); age > most {
				worst, most = c, age
			}
			age := float64((s.now - c.sentAt) / (overdue * cmp.Or(r.mean, s.usual, never)))
			if age > 1 {
				late++
			}
			if age > mostLost {
				lost, mostLost = c, age
			}
		}
	}
	if late > 1 && 4*late >= s.settings.Slots {
		worst = lost
	}
	if worst == nil || !s.settings.CallOff {
		return
	}
	worst.off = true
	for _, n := range worst.riders {
		s.do(CallOff{n.id, n.trips - 1})
	}
}

// offer sends a notice to the best receiver that the gate lets it go to. Equal ones rank by this sender's
// lot: if all took the first of a list, its connections would run out. One where its grade failed comes last.
// To a route that loses calls, reissuable notices go first: what they find out costs nothing.
func (s *Sender) offer(n *notice, first bool) bool {
	var best *receiver
	var bestScore float64
	for _, r := range n.destination.routes {
		if first && r.losesCalls() && n.grade.Repeat != Reissuable {
			continue
		}
		for _, rc := range r.receivers {
			if !s.gate(n, rc) {
				continue
			}
			score := s.earn(rc, 0) - rc.fee*100*s.credits - float64(len(r.out)) + rc.lot
			score -= float64(2*s.settings.Slots) * rc.failed(n.grade).read(s.now, statisticsWindow)
			if s.joins(rc) != nil {
				score += float64(s.settings.Slots)
			}
			if best == nil || score > bestScore {
				best, bestScore = rc, score
			}
		}
	}
	if best != nil {
		s.send(n, best)
	}
	return best != nil
}

// joins is the call begun in this turn that a further notice for a receiver would travel on.
func (s *Sender) joins(rc *receiver) *call {
	for _, c := range s.fresh {
		if c.receiver == rc && len(c.riders) < rc.route.destination.kind.PerCall {
			return c
		}
	}
	return nil
}

func (s *Sender) send(n *notice, rc *receiver) {
	r, c := rc.route, s.joins(rc)
	if c == nil {
		wait := max(overdue*r.mean, n.grade.QuotedTime/2)
		if r.mean == 0 {
			wait = n.grade.QuotedTime
		}
		c = &call{receiver: rc, sentAt: s.now, trial: r.state == halfOpen, patience: wait,
			curbed: s.lastCall(n)-s.now < n.grade.QuotedTime}
		s.fresh = append(s.fresh, c)
		s.slotsOut++
		rc.credits--
		rc.used.add(s.now, s.settings.IdleKept, 1)
		s.pace(r)
		held := slices.ContainsFunc(r.out, func(o *call) bool { return o.receiver == rc })
		c.idle = held || s.now-rc.answeredAt > s.settings.Fall/4
		if c.idle && s.distrustsIdle() {
			c.idle = false
			s.do(LetGo{rc.id})
		}
		if r.out = append(r.out, c); s.doubtful(r) {
			s.doubtOut++
		}
		s.stir(r)
	}
	c.riders = append(c.riders, n)
	c.waiting++
	n.out = c
	s.leave(n)
	n.trips++
	s.do(Send{n.id, rc.id, s.timeOut(n, r)})
}

// timeOut is how long a trip may take: longer where calls are slow, and with each trip that ran, as the
// notice may be slow itself. What must not run twice is lost with a time-out, so it waits longer.
func (s *Sender) timeOut(n *notice, r *route) Millis {
	patience := max(n.grade.QuotedTime, overdue*r.mean) * Millis(1+n.ran)
	if n.grade.Repeat == AtMostOnce {
		patience *= 3
	}
	return min(patience, s.lastCall(n)-s.now)
}

// setTimer asks to be woken when the next thing may be due that no other event brings.
func (s *Sender) setTimer() {
	next := s.watchAt
	if len(s.waiting) > 0 && s.shortUntil > s.now {
		next = min(next, s.shortUntil)
	}
	for _, d := range s.waiting {
		opens := never
		note := func(last, at Millis) {
			next, opens = min(next, last), min(opens, at)
			if at > s.now {
				next = min(next, at)
			}
		}
		if s.look(d); len(d.plain) > 0 {
			note(s.lastCall(d.plain[0]), d.plainAt)
		}
		for _, n := range d.special {
			note(s.lastCall(n), s.opensAt(n))
		}
		if opens > s.now {
			continue
		}
		next = min(next, s.now+s.settings.Fall/4) // a return quickens the pace, and credits come back
		for _, r := range d.routes {
			if at := s.paceAt(r); at > s.now {
				next = min(next, at)
			}
		}
	}
	if s.slotsOut > 0 {
		next = min(next, s.now+s.settings.Fall/8)
	}
	if s.timerAt < s.now+s.settings.Tick/2 { // the wire's clock may round it to just before its time
		s.timerAt = never
	}
	if next = max(next, s.now+s.settings.Tick); next < s.timerAt {
		s.timerAt = next
		s.do(SetTimer{After: next - s.now})
	}
}
