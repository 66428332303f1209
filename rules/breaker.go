package rules

import (
	"fmt"
	"math"
)

// The breaker of a route, and the signs of an outage that come before it opens.

func (s *Sender) failing(r *route) bool { return r.losingCalls() || r.down }

// losesCalls tells whether a call to a route may be lost, as others failed, are overdue or take long. Where
// calls are only refused none is lost.
func (r *route) losingCalls() bool {
	return r.state != closed || r.consecutiveFailures > 0 || r.overdueTotal > 1 || r.slow()
}

// doubtful tells whether a route is sick, or may be, as far as its slots go: with a call out it has answered
// nothing yet, or nothing since its oldest call became overdue.
func (s *Sender) suspect(r *route) bool {
	return s.failing(r) || len(r.outstanding) > 0 && (r.meanDelay == 0 ||
		s.now-max(r.outstanding[0].sentAt, r.lastResponseAt) > max(overdueDelays*r.meanDelay, s.settings.Fall/32))
}

// again tells whether a call left after the first sign of an outage, with nothing handled for two falls: of
// what hundreds share, one sender hardly sees more.
func (s *Sender) confirmsOutage(r *route, c *call) bool {
	return c.sentAt >= r.outageSince && r.recentHandled.read(s.now, s.settings.Fall) < math.Exp(-confirmingOverloadTimes)
}

// sign notes a sign of an outage, from which on the route counts as down or not.
func (s *Sender) noteOutageSign(r *route, down, confirmed bool) {
	if r.outageSince == never || r.waitUntil > s.now {
		r.pacingPhase, r.pacingStart = s.random(), max(s.now, r.waitUntil)
	}
	if r.outageSince == never && s.now-r.recoveredAt >= s.settings.WarmWithin {
		r.maxRateBeforeOutage = s.maxServedRate(r)
	}
	r.outageSince = min(r.outageSince, s.now)
	r.lastOutageSignAt = max(s.now, r.waitUntil)
	r.outageConfirmed = r.outageConfirmed || confirmed || s.now-r.outageSince >= confirmingOverloadTimes*s.settings.Fall
	r.down = r.down || r.outageConfirmed || down
}

// record feeds the sliding window and opens the breaker. A quiet destination may never fill its window:
// there the pace of an outage holds calls back.
func (s *Sender) recordOutcome(r *route, failed bool) {
	r.outcomes.add(callOutcome{s.now, failed})
	calls, failures := r.outcomes.countSince(s.now - statisticsWindow)
	if r.state != closed || !failed {
		return
	}
	thresholdReached := failures >= failureThreshold && (calls < 2*minimumCallsBeforeCalculation || 2*failures >= calls)
	if thresholdReached && calls >= minimumCallsBeforeCalculation {
		s.openBreaker(r, fmt.Sprintf("%d of %d calls failed", failures, calls))
	}
}

func (s *Sender) openBreaker(r *route, why string) {
	r.halfOpenAt = s.now + resetTimeout
	r.delayWindow = max(r.delayWindow/2, 1)
	s.noteOutageSign(r, true, true)
	s.setBreakerState(r, open, why)
}

func (s *Sender) setBreakerState(r *route, state breakerState, why string) {
	r.state, r.succeededTrials = state, 0
	s.activate(r)
	if state == closed {
		r.outcomes = slidingWindow{}
	}
	s.emit(Turned{r.destination.id, r.id, string(state), why})
}

// stepBreakers lets reset times run out, and notices silence before calls time out, by all that a route owes:
// the spans for which its calls wait without any answer from it, added up, against its mean delay.
func (s *Sender) updateBreakers() {
	s.suspectSlots = 0
	for _, r := range s.activeRoutes() {
		if s.suspect(r) {
			s.suspectSlots += len(r.outstanding)
		}
		if r.state == open && s.now >= r.halfOpenAt {
			s.setBreakerState(r, halfOpen, "reset time over")
		}
		r.overdueTotal = 0
		if r.state != closed || len(r.outstanding) == 0 {
			continue
		}
		longestWait := Millis(0)
		for _, c := range r.outstanding {
			waited := s.now - max(c.sentAt, r.lastResponseAt)
			r.overdueTotal += float64(waited / c.overdueAfter)
			longestWait = max(longestWait, waited)
		}
		if r.overdueTotal >= silentTimeouts && len(r.outstanding) > 1 && longestWait >= s.settings.Fall/2 {
			s.openBreaker(r, fmt.Sprintf("%d calls owed for %.0f ms", len(r.outstanding), longestWait))
		}
	}
}
