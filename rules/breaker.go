package rules

import (
	"fmt"
	"math"
)

// The breaker of a route, and the signs of an outage that come before it opens.

func (s *Sender) sick(r *route) bool { return r.losesCalls() || r.down }

// losesCalls tells whether a call to a route may be lost, as others failed, are overdue or take long. Where
// calls are only refused none is lost.
func (r *route) losesCalls() bool { return r.state != closed || r.run > 0 || r.owed > 1 || r.slow() }

// doubtful tells whether a route is sick, or may be, as far as its slots go: with a call out it has answered
// nothing yet, or nothing since its oldest call became overdue.
func (s *Sender) doubtful(r *route) bool {
	return s.sick(r) || len(r.out) > 0 && (r.mean == 0 ||
		s.now-max(r.out[0].sentAt, r.answeredAt) > max(overdue*r.mean, s.settings.Fall/32))
}

// again tells whether a call left after the first sign of an outage, with nothing handled for two falls: of
// what hundreds share, one sender hardly sees more.
func (s *Sender) again(r *route, c *call) bool {
	return c.sentAt >= r.badSince && r.handled.read(s.now, s.settings.Fall) < math.Exp(-sureAfter)
}

// sign notes a sign of an outage, from which on the route counts as down or not.
func (s *Sender) sign(r *route, down, sure bool) {
	if r.badSince == never || r.waitUntil > s.now {
		r.phase, r.pacedFrom = s.random(), max(s.now, r.waitUntil)
	}
	if r.badSince == never && s.now-r.returnedAt >= s.settings.WarmWithin {
		r.servedRate = s.mostServed(r)
	}
	r.badSince = min(r.badSince, s.now)
	r.badAt = max(s.now, r.waitUntil)
	r.sure = r.sure || sure || s.now-r.badSince >= sureAfter*s.settings.Fall
	r.down = r.down || r.sure || down
}

// record feeds the sliding window and opens the breaker. A quiet destination may never fill its window:
// there the pace of an outage holds calls back.
func (s *Sender) record(r *route, failed bool) {
	r.outcomes.add(outcome{s.now, failed})
	calls, failures := r.outcomes.tally(s.now - statisticsWindow)
	if r.state != closed || !failed {
		return
	}
	many := failures >= failureThreshold && (calls < 2*minimumCallsBeforeCalculation || 2*failures >= calls)
	if many && calls >= minimumCallsBeforeCalculation {
		s.openBreaker(r, fmt.Sprintf("%d of %d calls failed", failures, calls))
	}
}

func (s *Sender) openBreaker(r *route, why string) {
	r.reopenAt = s.now + resetTimeout
	r.window = max(r.window/2, 1)
	s.sign(r, true, true)
	s.turn(r, open, why)
}

func (s *Sender) turn(r *route, state breakerState, why string) {
	r.state, r.proved = state, 0
	s.stir(r)
	if state == closed {
		r.outcomes = window{}
	}
	s.do(Turned{r.destination.id, r.id, string(state), why})
}

// stepBreakers lets reset times run out, and notices silence before calls time out, by all that a route owes:
// the spans for which its calls wait without any answer from it, added up, against its mean delay.
func (s *Sender) stepBreakers() {
	s.doubtOut = 0
	for _, r := range s.stirring() {
		if s.doubtful(r) {
			s.doubtOut += len(r.out)
		}
		if r.state == open && s.now >= r.reopenAt {
			s.turn(r, halfOpen, "reset time over")
		}
		r.owed = 0
		if r.state != closed || len(r.out) == 0 {
			continue
		}
		quiet := Millis(0)
		for _, c := range r.out {
			waits := s.now - max(c.sentAt, r.answeredAt)
			r.owed += float64(waits / c.patience)
			quiet = max(quiet, waits)
		}
		if r.owed >= silent && len(r.out) > 1 && quiet >= s.settings.Fall/2 {
			s.openBreaker(r, fmt.Sprintf("%d calls owed for %.0f ms", len(r.out), quiet))
		}
	}
}
