// Package rules takes every decision of a sender: which notice is sent where and when, and when it ends
// without delivery. It does no I/O and reads no clock. The caller creates a Sender with New, passes the time
// and the events to Decide, and carries out the returned actions in their order. The interface (ids,
// Settings, events and actions) is in api.go; docs/design.md gives the reasons for the rules.
package rules

import "math"

const (
	// Parameters of the circuit breaker; see docs/design.md.
	statisticsWindow              Millis = 30_000
	resetTimeout                  Millis = 5_000
	minimumCallsBeforeCalculation        = 10
	failureThreshold                     = 5
	halfOpenMaxCalls                     = 3

	// nearBestRatio is the highest ratio of mean to best delay at which the delay window grows.
	nearBestRatio = 2.0
	// slowRatio is the ratio of mean to best delay above which a route counts as slow.
	slowRatio = 4.0
	// windowDecrease is the factor by which a slow response or a failure reduces the delay window.
	windowDecrease = 0.9
	// bestDelayDrift is the share of the difference to the mean by which each response raises the best delay.
	bestDelayDrift = 0.01
	// overdueDelays is the number of mean delays after which an outstanding call is overdue.
	overdueDelays = 6.0
	// silentOverdueTotal is the sum over the calls of a route of waiting time / overdueAfter at which the
	// route counts as silent.
	silentOverdueTotal = 6.0
	// cancelAge is the age above which a call may be cancelled to free its slot, as a multiple of the time
	// after which it is overdue.
	cancelAge = 2.0
	// tokenShare is the highest number of tokens of a receiver, as a share of the slots.
	tokenShare = 0.15
	// deferralDiscount is the weight of the credit that a notice would still earn a quoted time later, which
	// reduces its urgency.
	deferralDiscount = 0.8
	// suspectSlotShare is the share of the slots that all suspect routes may use together.
	suspectSlotShare = 0.75
	// nearlyFullShare is the share of the hold limit, or of the space, above which the notices with the
	// lowest expected credit are dismissed.
	nearlyFullShare = 0.9
	// fewSenders is the number of senders up to which their calls together hardly vary by chance.
	fewSenders = 4.0
	// smallBudget is the number of calls below which the terms allow more beyond a budget; see mostCalls.
	smallBudget = 30.0
	// aimDeviations is how many standard deviations of the number of calls are left to the most that the
	// terms allow during a recovery.
	aimDeviations = 3.0
	// earnedShareScale is the difference between the earned shares of two grades' credit at which the grade
	// with the lower share has e (2.7) times the weight of the other.
	earnedShareScale = 0.2
	// confirmingOverloadTimes is the number of overload times (Settings.OverloadTime) without a success after
	// which an outage is confirmed.
	confirmingOverloadTimes = 2.0
	// burstShare is the share of an overload time for which unused calls under a limit may be caught up.
	burstShare = 0.25
	// limitShareDecrease is the factor by which a refusal reduces this sender's share of a limit, to no less
	// than minLimitShare.
	limitShareDecrease = 0.7
	minLimitShare      = 1.0 / 16
	// excessLossShare says when idle connections are distrusted: when the share of calls lost on them exceeds
	// idleLossFactor times the share lost on other connections by more than excessLossShare.
	excessLossShare = 0.1
	// ampleLimitRemaining is the remaining share of a limit above which a call is not refused because of the
	// limit.
	ampleLimitRemaining = 0.5
	// idleLossFactor multiplies the share of calls lost on other connections; see excessLossShare.
	idleLossFactor = 3.0
	// keepIdleCalls is the number of calls within Settings.IdleTimeout that make an idle connection worth
	// keeping.
	keepIdleCalls = 1.5
	// keepIdleCallsPerSender is the same number for each sender of the deployment, where connections are
	// scarce.
	keepIdleCallsPerSender = 0.25
	// refusedConnectionShare is the share of refused connections above which the connections to destinations
	// of a kind are scarce.
	refusedConnectionShare = 1.0 / 32
	// minCallsPerKind is the number of calls to destinations of a kind up to which their connections always
	// count as scarce.
	minCallsPerKind = 8

	// minObservation is the shortest time over which the rate of handled calls of a route is computed.
	minObservation Millis = statisticsWindow / 3

	// never is a time that does not come.
	never = Millis(math.MaxFloat64)
)

// New returns a sender with these settings and no notices or receivers. The seed determines its random
// choices.
func New(seed uint64, settings Settings) *Sender {
	s := newSender(seed, settings)
	s.maxTokens = max(math.Ceil(tokenShare*float64(settings.Slots)), 2)
	s.maxSuspectSlots = max(int(suspectSlotShare*float64(settings.Slots)), 1)
	if settings.WatchOnRequest {
		s.watchListAt = 0
	}
	return s
}

// Decide processes the events up to now and returns the actions to carry out, in this order. Such a call is
// one turn.
func (s *Sender) Decide(now Millis, events []Event) []Action {
	s.now, s.actions, s.newCalls, s.turnNumber = now, nil, nil, s.turnNumber+1
	for _, e := range events {
		switch e := e.(type) {
		case NoticeAccepted:
			s.acceptNotice(e)
		case TripEnded:
			s.endTrip(e)
		case WaitRequested:
			if rc := s.receivers[e.Receiver]; rc != nil {
				s.applyRequestedWait(rc.route, e.Wait)
			}
		case OutcomeConfirmed:
			s.confirmOutcome(e)
		case OutcomeRetracted:
			s.retractOutcome(e)
		case UnsolicitedBytes:
			s.handleUnsolicitedBytes(e)
		case NoticeWithdrawn:
			if n := s.notices[e.Notice]; n != nil {
				s.releaseNotice(n)
			}
		case ListUpdated:
			s.updateList(e)
		case RouteStateRestored:
			s.restoreRouteState(e)
		case ListUnverified:
			s.awaitListVerification()
		case ListVerified:
			s.endListVerification()
		case ListFailed:
			s.watchListAt = s.now + min(s.settings.RewatchWithin/16, maxRewatchPause)*Millis(1+s.random())
		}
	}
	if s.now >= s.watchListAt {
		s.watchListAt = never
		s.emit(WatchList{})
	}
	s.cleanUp()
	s.updateBreakers()
	s.decideConnectedCalls(events)
	s.updateGradeWeights()
	s.endUndeliverable()
	s.sendNotices()
	s.freeSpace()
	s.setTimer()
	s.reportRouteStates()
	return s.actions
}

func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// updateList applies entries of the receiver list. Receivers that are missing from a whole list are gone.
func (s *Sender) updateList(e ListUpdated) {
	if e.Complete {
		for _, rc := range s.receivers {
			rc.status = Gone
		}
	}
	for _, entry := range e.Entries {
		rc := s.receivers[entry.Receiver]
		switch {
		case rc == nil && entry.Status == Gone:
			continue
		case rc == nil:
			rc = s.addReceiver(entry, max(float64(s.settings.Slots)/2, 1))
		}
		if rc.status = entry.Status; s.settings.ListedError >= 0 && rc.status != Gone {
			rc.route.listedRate = entry.ListedRate / 1000 / (1 + s.settings.ListedError)
		}
	}
}
