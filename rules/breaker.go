package rules

import (
	"fmt"
	"math"
)

// This file holds the circuit breaker of a route, and the detection of outages before the breaker opens.

// failing reports whether a route is losing calls or down.
func (s *Sender) failing(r *route) bool { return r.losingCalls() || r.down }

// losingCalls reports whether a further call to a route may be lost, because others failed, are overdue or
// take long. A route that only refuses calls loses none.
func (r *route) losingCalls() bool {
	return r.state != closed || r.consecutiveFailures > 0 || r.overdueTotal > 1 || r.slow()
}

// suspect reports whether a route is failing, or may be: it has outstanding calls, and has either never
// handled a call, or sent no response for overdueDelays mean delays while its oldest call waited. All suspect
// routes together may use only a part of the slots (suspectSlotShare).
func (s *Sender) suspect(r *route) bool {
	return s.failing(r) || len(r.outstanding) > 0 && (r.meanDelay == 0 ||
		s.now-max(r.outstanding[0].sentAt, r.lastResponseAt) >
			max(overdueDelays*r.meanDelay, s.settings.OverloadTime/32))
}

// repeatsOutageSign reports whether a failed or refused call is a further sign of an outage: the call was
// sent after the first sign, and nothing was handled for two overload times. Where hundreds of senders share
// a destination, one sender makes too few calls to see stronger evidence.
func (s *Sender) repeatsOutageSign(r *route, c *call) bool {
	return c.sentAt >= r.outageSince &&
		r.recentHandled.read(s.now, s.settings.OverloadTime) < math.Exp(-confirmingOverloadTimes)
}

// noteOutageSign records a sign of an outage. With down, the route counts as down from now on; with
// confirmed, the outage is confirmed, as it is in any case when it has lasted for two overload times.
func (s *Sender) noteOutageSign(r *route, down, confirmed bool) {
	if r.outageSince == never || r.waitUntil > s.now {
		r.pacingPhase, r.pacingStart = s.random(), max(s.now, r.waitUntil)
	}
	if r.outageSince == never && s.now-r.recoveredAt >= s.settings.WarmUpTime {
		r.rateBeforeOutage = s.handledRate(r)
	}
	r.outageSince = min(r.outageSince, s.now)
	r.lastOutageSignAt = max(s.now, r.waitUntil)
	r.outageConfirmed = r.outageConfirmed || confirmed ||
		s.now-r.outageSince >= confirmingOverloadTimes*s.settings.OverloadTime
	r.down = r.down || r.outageConfirmed || down
	s.noteStateChange(r)
}

// recordOutcome adds an outcome to the sliding window and opens the breaker when too many calls failed. A
// destination with little traffic may never reach the minimum number of calls: there only the pacing during
// an outage limits the calls.
func (s *Sender) recordOutcome(r *route, failed bool) {
	r.outcomes.add(callOutcome{s.now, failed})
	calls, failures := r.outcomes.countSince(s.now - statisticsWindow)
	if r.state != closed || !failed {
		return
	}
	thresholdReached := failures >= failureThreshold &&
		(calls < 2*minimumCallsBeforeCalculation || 2*failures >= calls)
	if thresholdReached && calls >= minimumCallsBeforeCalculation {
		s.openBreaker(r, fmt.Sprintf("%d of %d calls failed", failures, calls))
	}
}

// openBreaker opens the breaker for the reset time and halves the delay window.
func (s *Sender) openBreaker(r *route, why string) {
	r.halfOpenAt = s.now + resetTimeout
	r.delayWindow = max(r.delayWindow/2, 1)
	s.noteOutageSign(r, true, true)
	s.setBreakerState(r, open, why)
}

// setBreakerState changes the state of the breaker and reports it, with the reason.
func (s *Sender) setBreakerState(r *route, state breakerState, why string) {
	r.state, r.succeededTrials = state, 0
	s.activate(r)
	if state == closed {
		r.outcomes = slidingWindow{}
	}
	s.emit(BreakerChanged{r.destination.id, r.id, string(state), why})
}

// updateBreakers ends reset times, and opens the breaker of a silent route before its calls time out: it adds
// up how long each call has waited without any response from the route, relative to the time after which the
// call is overdue.
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
		if r.overdueTotal >= silentOverdueTotal && len(r.outstanding) > 1 &&
			longestWait >= s.settings.OverloadTime/2 {
			s.openBreaker(r, fmt.Sprintf("%d calls owed for %.0f ms", len(r.outstanding),
				longestWait))
		}
	}
}
